"""Carry transfers of tokens between simulated routers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from jasminetally._budget import transfer_effects
from jasminetally._recovery import journal_entry
from jasminetally._recovery import transfer_entry

if TYPE_CHECKING:
    from jasminetally._bench import jasminetally_policy
    from jasminetally._budget import transfer_messages
    from jasminetally._ledger import account_record

# Encoded size of the two messages with ids of the bench's length.
ASK_BYTES = 150
NOTE_BYTES = 190


class TransferDriver:
    """Carry transfers; a note leaves only after the journal has it."""

    def __init__(self, policy: jasminetally_policy.JasminetallyPolicy) -> None:
        self._policy = policy
        self._held: dict[str, transfer_effects.SendTransfer] = {}
        self._open: dict[str, journal_entry.JournalTransfer] = {}

    def run(
        self,
        effect: transfer_effects.AskTransfer
        | transfer_effects.AppendJournal
        | transfer_effects.SendTransfer,
    ) -> None:
        """Carry out one effect."""
        match effect:
            case transfer_effects.AskTransfer():
                for peer in effect.peers:
                    self._policy.send(
                        peer, "on_transfer_asked", effect.request, ASK_BYTES
                    )
            case transfer_effects.AppendJournal():
                for note in effect.entries:
                    self._append(note)
            case transfer_effects.SendTransfer():
                if effect.reply.tokens and self._policy.recovers:
                    entry = transfer_entry.from_note(effect.reply)
                    self._held[journal_entry.subject_of(entry)] = effect
                    return
                self._send(effect)

    def forget_converted(
        self, account: str, record: account_record.AccountRecord
    ) -> None:
        """Drop journal entries of transfers that the record shows."""
        for subject, given in list(self._open.items()):
            if given.account != account:
                continue
            if transfer_entry.is_converted(given, record):
                del self._open[subject]
                self._policy.journal.durable([subject])

    def _append(self, note: transfer_messages.TransferReply) -> None:
        if not self._policy.recovers:
            return
        entry = transfer_entry.from_note(note)
        subject = journal_entry.subject_of(entry)
        self._open[subject] = entry

        def decided(acknowledged: bool) -> None:
            held = self._held.pop(subject, None)
            if acknowledged and held is not None:
                self._send(held)

        self._policy.journal.append(entry, decided)

    def _send(self, effect: transfer_effects.SendTransfer) -> None:
        self._policy.send(
            effect.peer, "on_transfer_received", effect.reply, NOTE_BYTES
        )
