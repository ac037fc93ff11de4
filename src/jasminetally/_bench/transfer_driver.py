"""Transfers of tokens between simulated routers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from jasminetally._budget import transfer_effects
from jasminetally._recovery import journal_entry
from jasminetally._recovery import transfer_entry

if TYPE_CHECKING:
    from jasminetally._bench import jasminetally_policy
    from jasminetally._budget import transfer_messages
    from jasminetally._ledger import account_record

# Encoded size of a transfer request and of a transfer reply with ids of the
# length that the bench uses.
REQUEST_BYTES = 150
REPLY_BYTES = 190


class TransferDriver:
    """Executes the transfer effects of budget managers.

    A transfer reply that gives tokens is sent only after a peer has
    acknowledged its journal entry.
    """

    def __init__(self, policy: jasminetally_policy.JasminetallyPolicy) -> None:
        self._policy = policy
        self._pending_sends: dict[str, transfer_effects.SendTransfer] = {}
        self._open_transfers: dict[str, journal_entry.JournalTransfer] = {}

    def run_effect(
        self,
        effect: transfer_effects.AskTransfer
        | transfer_effects.AppendJournal
        | transfer_effects.SendTransfer,
    ) -> None:
        """Execute one transfer effect."""
        match effect:
            case transfer_effects.AskTransfer():
                for peer in effect.peers:
                    self._policy.send_message(
                        peer, "on_transfer_asked", effect.request, REQUEST_BYTES
                    )
            case transfer_effects.AppendJournal():
                for reply in effect.entries:
                    self._append_transfer(reply)
            case transfer_effects.SendTransfer():
                if effect.reply.tokens and self._policy.recovery_enabled:
                    entry = transfer_entry.from_note(effect.reply)
                    self._pending_sends[journal_entry.subject_of(entry)] = (
                        effect
                    )
                    return
                self._send_reply(effect)

    def drop_converted(
        self, account: str, record: account_record.AccountRecord
    ) -> None:
        """Drop the journal entries of transfers that the record contains."""
        for subject, entry in list(self._open_transfers.items()):
            if entry.account != account:
                continue
            if transfer_entry.is_converted(entry, record):
                del self._open_transfers[subject]
                self._policy.journal.drop_durable([subject])

    def _append_transfer(self, reply: transfer_messages.TransferReply) -> None:
        if not self._policy.recovery_enabled:
            return
        entry = transfer_entry.from_note(reply)
        subject = journal_entry.subject_of(entry)
        self._open_transfers[subject] = entry

        def decided(acknowledged: bool) -> None:
            pending = self._pending_sends.pop(subject, None)
            if acknowledged and pending is not None:
                self._send_reply(pending)

        self._policy.journal.append_entry(entry, decided)

    def _send_reply(self, effect: transfer_effects.SendTransfer) -> None:
        self._policy.send_message(
            effect.peer, "on_transfer_received", effect.reply, REPLY_BYTES
        )
