"""Journal entries of transfers to other routers."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING

from jasminetally._recovery import journal_codec
from jasminetally._recovery import journal_entry
from jasminetally._recovery import transfer_entry
from jasminetally._router import journal_news

if TYPE_CHECKING:
    from collections.abc import Callable

    import pykka

    from jasminetally._budget import transfer_messages
    from jasminetally._ledger import account_record


class TransferJournal:
    """Append transfers and drop them once the record shows them converted.

    Safe for use by several threads.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._journal: pykka.ActorRef | None = None
        self._held: set[str] = set()
        self._open: dict[str, journal_entry.JournalTransfer] = {}

    def attach(self, journal: pykka.ActorRef) -> None:
        """Set the actor of the journal."""
        self._journal = journal

    def secure(
        self,
        note: transfer_messages.TransferReply,
        on_held: Callable[[], None],
    ) -> None:
        """Make sure that recovery would find a transfer.

        A repeated question gives the same note, whose entry may be held
        already or may have got no acknowledgement yet.

        Args:
            note: The transfer.
            on_held: Called once a peer holds the entry, now or in the
                journal's actor; must not block. Not called if no peer does.
        """
        entry = transfer_entry.from_note(note)
        subject = journal_entry.subject_of(entry)
        with self._lock:
            self._open[subject] = entry
            held = subject in self._held
        if held:
            on_held()
            return

        def decided(acknowledged: bool) -> None:
            if acknowledged:
                with self._lock:
                    self._held.add(subject)
                on_held()

        self._journal.tell(journal_news.AppendEntry(entry, decided))

    def forget_converted(
        self, account: str, record: account_record.AccountRecord
    ) -> None:
        """Drop the entries of transfers that a record shows as converted."""
        with self._lock:
            done = [
                subject
                for subject, entry in self._open.items()
                if entry.account == account
                and transfer_entry.is_converted(entry, record)
            ]
            for subject in done:
                del self._open[subject]
                self._held.discard(subject)
        if done:
            self._journal.tell(journal_news.EntriesDurable(tuple(done)))


def encoded(note: transfer_messages.TransferReply) -> bytes:
    """Return a note as an encoded journal entry."""
    return journal_codec.encode(transfer_entry.from_note(note))
