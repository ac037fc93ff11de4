"""Check of the token balance of account records."""

from __future__ import annotations

from jasminetally import _errors
from jasminetally._ledger import account_record
from jasminetally._ledger import budget_entry


def check_record(record: account_record.AccountRecord) -> None:
    """Check each budget; see ``check_budget``."""
    for budget, entry in record.budgets.items():
        check_budget(budget, entry)


def check_budget(budget: str, entry: budget_entry.BudgetEntry) -> None:
    """Check that paid in = settled + unbilled + held + free, none negative.

    Raises:
        InvariantError: The budget does not balance.
    """
    held = 0
    for grant, held_entry in entry.grants.items():
        held += held_entry.tokens
        if held_entry.tokens < 0 or held_entry.isolated < 0:
            raise _errors.InvariantError(
                f"grant {grant!r} of budget {budget!r} has "
                f"{held_entry.tokens} tokens, expected none below 0"
            )
        if held_entry.closed and (
            sum(found.tokens for found in held_entry.pending_transfers.values())
            != held_entry.tokens
        ):
            raise _errors.InvariantError(
                f"closed grant {grant!r} of budget {budget!r} has "
                f"{held_entry.tokens} tokens, expected those of its transfers"
            )
    paid = sum(entry.credited.values())
    used = entry.settled + entry.unbilled + held + entry.free
    if paid != used or min(entry.settled, entry.unbilled, entry.free) < 0:
        raise _errors.InvariantError(
            f"budget {budget!r} has {paid} tokens paid in, but settled "
            f"{entry.settled}, unbilled {entry.unbilled}, held {held} and "
            f"free {entry.free}"
        )
