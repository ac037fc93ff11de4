"""Mutable copy of an account record while operations are applied to it."""

from __future__ import annotations

from jasminetally._ledger import account_record
from jasminetally._ledger import budget_draft
from jasminetally._ledger import budget_entry
from jasminetally._ledger import invariant
from jasminetally._ledger import request_entry


class RecordDraft:
    """Mutable copy of a record; only the parts that change are copied.

    Attributes:
        writer: Incarnation that applies the operations.
        now_wall_s: Wall clock time of the write, in seconds.
        writers: Incarnation -> sequence number of its last applied write.
        requests: Key hash -> request. It is the record's own dictionary until
            ``put_request`` or ``drop_request`` copies it.
    """

    def __init__(
        self,
        record: account_record.AccountRecord,
        *,
        writer: str,
        now_wall_s: float,
    ) -> None:
        self.writer = writer
        self.now_wall_s = now_wall_s
        self.writers = dict(record.writers)
        self.requests = record.requests
        self._record = record
        self._budgets: dict[str, budget_draft.BudgetDraft] = {}

    def get_budget(self, budget_id: str) -> budget_draft.BudgetDraft:
        """Return the mutable copy of a budget; create a budget if needed."""
        draft = self._budgets.get(budget_id)
        if draft is None:
            entry = self._record.budgets.get(budget_id)
            draft = budget_draft.BudgetDraft(
                entry or budget_entry.BudgetEntry()
            )
            self._budgets[budget_id] = draft
        return draft

    def put_request(
        self, key_hash: str, entry: request_entry.RequestEntry
    ) -> None:
        """Add or replace a request entry."""
        self._writable_requests()[key_hash] = entry

    def drop_request(self, key_hash: str) -> None:
        """Remove a request entry."""
        del self._writable_requests()[key_hash]

    def holds_grants(self, incarnation: str) -> bool:
        """Return whether an incarnation holds a grant in any budget."""
        budget_ids = self._record.budgets.keys() | self._budgets.keys()
        return any(
            entry.holder == incarnation
            for budget_id in budget_ids
            for entry in self.get_budget(budget_id).grants.values()
        )

    def build_record(self) -> account_record.AccountRecord:
        """Return the record with the changes made so far.

        Raises:
            InvariantError: A changed budget does not balance.
        """
        budgets = dict(self._record.budgets)
        for budget_id, draft in self._budgets.items():
            entry = draft.build_entry()
            invariant.check_budget(budget_id, entry)
            budgets[budget_id] = entry
        return account_record.AccountRecord(
            self._record.schema, self.writers, budgets, self.requests
        )

    def _writable_requests(self) -> dict[str, request_entry.RequestEntry]:
        """Return the request entries, copied before the first change."""
        if self.requests is self._record.requests:
            self.requests = dict(self.requests)
        return self.requests
