"""Transitions of grants and transfers."""

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
    draft: record_draft.RecordDraft, change: grant_operations.CreditTopUp
) -> _GrantOutcome:
    """Credit a top-up unless its id is credited already."""
    budget = draft.get_budget(change.budget)
    if change.top_up in budget.credited:
        return UNCHANGED
    budget.credited = {**budget.credited, change.top_up: change.tokens}
    budget.free += change.tokens
    return grant_outcomes.Granted(change.tokens)


def add_grant(
    draft: record_draft.RecordDraft, change: grant_operations.AddGrant
) -> _GrantOutcome:
    """Move at most the free tokens into a grant."""
    budget = draft.get_budget(change.budget)
    entry = budget.grants.get(change.grant)
    if entry is not None and (entry.closed or entry.holder != change.holder):
        return grant_outcomes.GrantClosed(change.grant)
    tokens = max(0, min(change.tokens, budget.free))
    if tokens == 0 and entry is None:
        return grant_outcomes.Granted(0)
    budget.free -= tokens
    budget.add_tokens(change.grant, change.holder, tokens)
    budget.grants[change.grant] = budget.grants[change.grant]._replace(
        isolated=change.isolated
    )
    return grant_outcomes.Granted(tokens)


def return_tokens(
    draft: record_draft.RecordDraft, change: grant_operations.ReturnTokens
) -> _GrantOutcome:
    """Move tokens of an open grant back to free."""
    budget = draft.get_budget(change.budget)
    if budget.find_open_grant(change.grant) is None:
        return grant_outcomes.GrantClosed(change.grant)
    budget.remove_tokens(change.grant, change.tokens)
    budget.free += change.tokens
    if change.close and budget.grants[change.grant].tokens == 0:
        del budget.grants[change.grant]
    return grant_outcomes.Granted(change.tokens)


def convert_transfer(
    draft: record_draft.RecordDraft,
    change: settlement_operations.ConvertTransfer,
) -> _GrantOutcome:
    """Move the tokens of a transfer to its receiver, once for each id."""
    budget = draft.get_budget(change.budget)
    entry = budget.grants.get(change.from_grant)
    if entry is None:
        return grant_outcomes.GrantClosed(change.from_grant)
    if is_converted(entry, change.transfer):
        return UNCHANGED
    kept = entry.pending_transfers.get(change.transfer)
    if entry.closed and (kept is None or kept.tokens != change.tokens):
        return grant_outcomes.GrantClosed(change.from_grant)
    target = budget.grants.get(change.to_grant)
    if target is not None and (target.closed or target.holder != change.holder):
        return grant_outcomes.GrantClosed(change.to_grant)
    budget.remove_tokens(change.from_grant, change.tokens)
    budget.add_tokens(change.to_grant, change.holder, change.tokens)
    _record_conversion(budget, change)
    return grant_outcomes.Granted(change.tokens)


def is_converted(entry: grant_entry.GrantEntry, transfer: str) -> bool:
    """Return whether a transfer of a grant was converted."""
    number = _transfer_number(transfer)
    if number is not None and number < entry.converted_below:
        return True
    return transfer in entry.converted_transfers


def _record_conversion(
    budget: budget_draft.BudgetDraft,
    change: settlement_operations.ConvertTransfer,
) -> None:
    entry = budget.grants[change.from_grant]
    if entry.closed and entry.tokens == 0:
        del budget.grants[change.from_grant]
        return
    transfers = {**entry.converted_transfers, change.transfer: change.tokens}
    below = entry.converted_below
    while transfers.pop(f"{change.from_grant}/{below}", None) is not None:
        below += 1
    kept = {
        transfer: found
        for transfer, found in entry.pending_transfers.items()
        if transfer != change.transfer
    }
    budget.grants[change.from_grant] = entry._replace(
        converted_transfers=transfers,
        converted_below=below,
        pending_transfers=kept,
    )


def _transfer_number(transfer: str) -> int | None:
    tail = transfer.rpartition("/")[2]
    return int(tail) if tail.isdecimal() else None
