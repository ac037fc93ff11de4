"""Last confirmed record of an account."""

from __future__ import annotations

import math

from jasminetally._ledger import account_record
from jasminetally._ledger import budget_entry
from jasminetally._ledger import grant_entry
from jasminetally._ledger import request_entry

_EMPTY_BUDGET = budget_entry.BudgetEntry()


class RecordView:
    """Confirmed record with its version and time of confirmation.

    Attributes:
        record: The record; None if the object does not exist or was never
            read.
        version: Version of the object; 0 if it does not exist.
        known: Whether the record, or its absence, was ever confirmed.
        confirmed_s: Time of the last confirmation, monotonic seconds.
    """

    def __init__(self) -> None:
        self.record: account_record.AccountRecord | None = None
        self.version = 0
        self.known = False
        self.confirmed_s = -math.inf

    def update(
        self,
        record: account_record.AccountRecord | None,
        version: int,
        now_s: float,
    ) -> None:
        """Replace the record by a newly confirmed one."""
        self.record = record
        self.version = version
        self.known = True
        self.confirmed_s = now_s

    def budget(self, budget: str) -> budget_entry.BudgetEntry:
        """Return the entry of a budget; an empty one if there is none."""
        if self.record is None:
            return _EMPTY_BUDGET
        return self.record.budgets.get(budget, _EMPTY_BUDGET)

    def has_budget(self, budget: str) -> bool:
        """Return whether the record has an entry of a budget."""
        return self.record is not None and budget in self.record.budgets

    def grant(self, budget: str, grant: str) -> grant_entry.GrantEntry | None:
        """Return the entry of a grant, or None."""
        return self.budget(budget).grants.get(grant)

    def request(self, key_hash: str) -> request_entry.RequestEntry | None:
        """Return the entry of a key, or None."""
        return (
            None if self.record is None else self.record.requests.get(key_hash)
        )

    def last_sequence(self, incarnation: str) -> int:
        """Return the sequence number of an incarnation's last applied write.

        It is 0 if the record has none.
        """
        if self.record is None:
            return 0
        return self.record.writers.get(incarnation, 0)

    def holds_grant(self, incarnation: str) -> bool:
        """Return whether an incarnation holds an open grant."""
        return self.record is not None and any(
            entry.holder == incarnation and not entry.closed
            for budget in self.record.budgets.values()
            for entry in budget.grants.values()
        )
