"""Journal entries of transfers between routers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from jasminetally._ledger import grant_transitions
from jasminetally._recovery import journal_entry

if TYPE_CHECKING:
    from jasminetally._budget import transfer_messages
    from jasminetally._ledger import account_record


def from_note(
    note: transfer_messages.TransferReply,
) -> journal_entry.JournalTransfer:
    """Return the journal entry of a transfer note."""
    return journal_entry.JournalTransfer(
        transfer=note.transfer,
        account=note.account,
        budget=note.budget,
        grant=note.from_grant,
        giver=note.giver,
        receiver=note.receiver,
        tokens=note.tokens,
    )


def is_converted(
    entry: journal_entry.JournalTransfer, record: account_record.AccountRecord
) -> bool:
    """Return whether the journal entry of a transfer may be dropped.

    That is the case if the account record shows that the transfer was
    converted, or if the record no longer has the grant of the transfer.
    """
    budget = record.budgets.get(entry.budget)
    if budget is None:
        return False
    grant = budget.grants.get(entry.grant)
    return grant is None or grant_transitions.is_converted(
        grant, entry.transfer
    )
