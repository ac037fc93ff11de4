"""Record of one client account."""

from __future__ import annotations

from typing import NamedTuple

from jasminetally._ledger import budget_entry
from jasminetally._ledger import request_entry

SCHEMA = 1
# Stored in place of a sequence number for a writer whose grants were reclaimed.
# Its later writes are rejected.
FENCED_SEQUENCE = -1


class AccountRecord(NamedTuple):
    """Budgets, grants and requests of one client account.

    One platform object holds the whole record, so that one conditional update
    settles, claims, returns and refills atomically. Treat a record as
    immutable.

    Attributes:
        schema: Version of the encoding.
        writers: Incarnation -> sequence number of its last applied write, or
            ``FENCED_SEQUENCE``.
        budgets: Budget id -> budget.
        requests: Key hash -> request.
    """

    schema: int = SCHEMA
    writers: dict[str, int] = {}
    budgets: dict[str, budget_entry.BudgetEntry] = {}
    requests: dict[str, request_entry.RequestEntry] = {}
