"""Check of the token balance of account records."""

from __future__ import annotations

from jasminetally import _errors
from jasminetally._ledger import account_record
from jasminetally._ledger import budget_entry


def check_record(record: account_record.AccountRecord) -> None:
    """Check the token balance of each budget.

    Raises:
        InvariantError: A budget does not balance.
    """
    for budget, entry in record.budgets.items():
        check_budget(budget, entry)


def check_budget(budget: str, entry: budget_entry.BudgetEntry) -> None:
    """Check that paid in = settled + unbilled + held + free, none negative.

    Tokens held are those of the grants. A closed grant must have exactly the
    tokens of its pending transfers.

    Raises:
        InvariantError: The budget does not balance.
    """
    held = 0
    for grant, held_entry in entry.grants.items():
        held += held_entry.tokens
        if held_entry.tokens < 0 or held_entry.isolated < 0:
            raise _errors.InvariantError(
                f"grant {grant!r} of budget {budget!r} has "
                f"{held_entry.tokens} tokens and an isolated share of "
                f"{held_entry.isolated}; expected neither to be negative"
            )
        if held_entry.closed and (
            sum(
                transfer.tokens
                for transfer in held_entry.pending_transfers.values()
            )
            != held_entry.tokens
        ):
            raise _errors.InvariantError(
                f"closed grant {grant!r} of budget {budget!r} has "
                f"{held_entry.tokens} tokens; expected the sum of its pending "
                "transfers"
            )
    paid_in = sum(entry.credited.values())
    accounted = entry.settled + entry.unbilled + held + entry.free
    if (
        paid_in != accounted
        or min(entry.settled, entry.unbilled, entry.free) < 0
    ):
        raise _errors.InvariantError(
            f"budget {budget!r} has {paid_in} tokens paid in; expected the sum "
            f"of settled {entry.settled}, unbilled {entry.unbilled}, held "
            f"{held} and free {entry.free}, none of them negative"
        )
