"""Functions that apply operations on top-ups, grants and transfers."""

from __future__ import annotations

from jasminetally._ledger import budget_draft
from jasminetally._ledger import grant_entry
from jasminetally._ledger import grant_operations
from jasminetally._ledger import grant_outcomes
from jasminetally._ledger import record_draft
from jasminetally._ledger import settlement_operations

UNCHANGED = grant_outcomes.Unchanged()
_GrantOutcome = (
    grant_outcomes.Granted
    | grant_outcomes.GrantClosed
    | grant_outcomes.Unchanged
)


def credit_top_up(
    draft: record_draft.RecordDraft, op: grant_operations.CreditTopUp
) -> _GrantOutcome:
    """Credit a top-up unless its id was credited earlier."""
    budget = draft.get_budget(op.budget)
    if op.top_up in budget.credited:
        return UNCHANGED
    budget.credited = {**budget.credited, op.top_up: op.tokens}
    budget.free += op.tokens
    return grant_outcomes.Granted(op.tokens)


def add_grant(
    draft: record_draft.RecordDraft, op: grant_operations.AddGrant
) -> _GrantOutcome:
    """Move tokens into a grant, limited to the free tokens."""
    budget = draft.get_budget(op.budget)
    entry = budget.grants.get(op.grant)
    if entry is not None and (entry.closed or entry.holder != op.holder):
        return grant_outcomes.GrantClosed(op.grant)
    tokens = max(0, min(op.tokens, budget.free))
    if tokens == 0 and entry is None:
        return grant_outcomes.Granted(0)
    budget.free -= tokens
    budget.add_tokens(op.grant, op.holder, tokens)
    budget.grants[op.grant] = budget.grants[op.grant]._replace(
        isolated=op.isolated
    )
    return grant_outcomes.Granted(tokens)


def return_tokens(
    draft: record_draft.RecordDraft, op: grant_operations.ReturnTokens
) -> _GrantOutcome:
    """Move tokens of an open grant back to the free tokens."""
    budget = draft.get_budget(op.budget)
    if budget.find_open_grant(op.grant) is None:
        return grant_outcomes.GrantClosed(op.grant)
    budget.remove_tokens(op.grant, op.tokens)
    budget.free += op.tokens
    if op.close and budget.grants[op.grant].tokens == 0:
        del budget.grants[op.grant]
    return grant_outcomes.Granted(op.tokens)


def convert_transfer(
    draft: record_draft.RecordDraft,
    op: settlement_operations.ConvertTransfer,
) -> _GrantOutcome:
    """Move the tokens of a transfer to its receiver, once for each id.

    From a closed grant only its pending transfers can be converted.
    """
    budget = draft.get_budget(op.budget)
    entry = budget.grants.get(op.from_grant)
    if entry is None:
        return grant_outcomes.GrantClosed(op.from_grant)
    if is_converted(entry, op.transfer):
        return UNCHANGED
    pending = entry.pending_transfers.get(op.transfer)
    if entry.closed and (pending is None or pending.tokens != op.tokens):
        return grant_outcomes.GrantClosed(op.from_grant)
    target = budget.grants.get(op.to_grant)
    if target is not None and (target.closed or target.holder != op.holder):
        return grant_outcomes.GrantClosed(op.to_grant)
    budget.remove_tokens(op.from_grant, op.tokens)
    budget.add_tokens(op.to_grant, op.holder, op.tokens)
    _record_conversion(budget, op)
    return grant_outcomes.Granted(op.tokens)


def is_converted(entry: grant_entry.GrantEntry, transfer: str) -> bool:
    """Return whether a transfer from a grant was converted already."""
    number = _transfer_number(transfer)
    if number is not None and number < entry.converted_below:
        return True
    return transfer in entry.converted_transfers


def _record_conversion(
    budget: budget_draft.BudgetDraft,
    op: settlement_operations.ConvertTransfer,
) -> None:
    entry = budget.grants[op.from_grant]
    if entry.closed and entry.tokens == 0:
        del budget.grants[op.from_grant]
        return
    transfers = {**entry.converted_transfers, op.transfer: op.tokens}
    converted_below = entry.converted_below
    while transfers.pop(f"{op.from_grant}/{converted_below}", None) is not None:
        converted_below += 1
    pending_transfers = {
        transfer: pending
        for transfer, pending in entry.pending_transfers.items()
        if transfer != op.transfer
    }
    budget.grants[op.from_grant] = entry._replace(
        converted_transfers=transfers,
        converted_below=converted_below,
        pending_transfers=pending_transfers,
    )


def _transfer_number(transfer: str) -> int | None:
    """Return the number in a transfer id, or None if it has none."""
    suffix = transfer.rpartition("/")[2]
    return int(suffix) if suffix.isdecimal() else None
