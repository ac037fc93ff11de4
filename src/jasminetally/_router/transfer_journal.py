"""Journal entries of transfers to other routers."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING

from jasminetally._recovery import journal_codec
from jasminetally._recovery import journal_entry
from jasminetally._recovery import transfer_entry
from jasminetally._router import journal_messages

if TYPE_CHECKING:
    from collections.abc import Callable

    import pykka

    from jasminetally._budget import transfer_messages
    from jasminetally._ledger import account_record


class TransferJournal:
    """Journal transfers until the account record shows them as converted.

    Safe for use by several threads.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._journal: pykka.ActorRef | None = None
        self._replicated: set[str] = set()
        self._unconverted: dict[str, journal_entry.JournalTransfer] = {}

    def attach(self, journal: pykka.ActorRef) -> None:
        """Set the journal actor."""
        self._journal = journal

    def journal_transfer(
        self,
        transfer: transfer_messages.TransferReply,
        on_replicated: Callable[[], None],
    ) -> None:
        """Ensure that a recovery would find a transfer.

        A repeated transfer request gets the same reply, whose entry a peer may
        hold already or may not have acknowledged yet.

        Args:
            transfer: Transfer.
            on_replicated: Called once a peer holds the entry, now or in the
                journal actor; must not block. Not called if no peer holds it.
        """
        entry = transfer_entry.from_note(transfer)
        subject = journal_entry.subject_of(entry)
        with self._lock:
            self._unconverted[subject] = entry
            replicated = subject in self._replicated
        if replicated:
            on_replicated()
            return

        def on_decided(acknowledged: bool) -> None:
            if acknowledged:
                with self._lock:
                    self._replicated.add(subject)
                on_replicated()

        self._journal.tell(journal_messages.AppendEntry(entry, on_decided))

    def drop_converted(
        self, account: str, record: account_record.AccountRecord
    ) -> None:
        """Drop the entries of transfers that a record shows as converted."""
        with self._lock:
            converted = [
                subject
                for subject, entry in self._unconverted.items()
                if entry.account == account
                and transfer_entry.is_converted(entry, record)
            ]
            for subject in converted:
                del self._unconverted[subject]
                self._replicated.discard(subject)
        if converted:
            self._journal.tell(
                journal_messages.EntriesDurable(tuple(converted))
            )


def encode_transfer(transfer: transfer_messages.TransferReply) -> bytes:
    """Encode a transfer as a journal entry."""
    return journal_codec.encode(transfer_entry.from_note(transfer))
