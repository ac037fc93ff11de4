"""Record of one client account."""

from __future__ import annotations

from typing import NamedTuple

from jasminetally._ledger import budget_entry
from jasminetally._ledger import request_entry

SCHEMA = 1
# Sequence number of a writer whose grants were reclaimed. It can't write again.
FENCED_SEQUENCE = -1


class AccountRecord(NamedTuple):
    """Budgets, grants and requests of one client account.

    One object holds everything, so that one conditional update settles,
    claims, returns and refills atomically. Treat it as immutable.

    Attributes:
        schema: Number of the encoding.
        writers: Incarnation -> sequence number of its last applied write, or
            ``FENCED_SEQUENCE``.
        budgets: Budget id -> budget.
        requests: Key hash -> request.
    """

    schema: int = SCHEMA
    writers: dict[str, int] = {}
    budgets: dict[str, budget_entry.BudgetEntry] = {}
    requests: dict[str, request_entry.RequestEntry] = {}
