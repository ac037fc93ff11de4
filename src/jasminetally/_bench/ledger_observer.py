"""Observer of the account records on the simulated platform."""

from __future__ import annotations

from typing import TYPE_CHECKING

from jasminetally._ledger import record_codec
from jasminetally._ledger import request_entry

if TYPE_CHECKING:
    from jasminetally._bench import budget_meter
    from jasminetally._ledger import account_record
    from jasminetally._platform import memory

RECORD_KEY_PREFIX = "account/"


class LedgerObserver:
    """Reads what was billed from the account records, not from routers.

    Attributes:
        unexplained_tokens: Settled tokens that belong to no completed
            request.
    """

    def __init__(
        self,
        store: memory.MemoryPlatform,
        meter: budget_meter.BudgetMeter,
    ) -> None:
        self._store = store
        self._meter = meter
        self._decoded: dict[str, tuple[int, account_record.AccountRecord]] = {}
        self._billed: dict[str, dict[str, tuple[str, str]]] = {}
        self.unexplained_tokens = 0

    def decode(
        self, key: str, version: int, value: bytes
    ) -> account_record.AccountRecord:
        """Decode a record, or return the decoded one of the same version."""
        known = self._decoded.get(key)
        if known is not None and known[0] == version:
            return known[1]
        return record_codec.decode(value)

    def on_write(self, key: str) -> None:
        """Compare a changed record to its previous version."""
        if not key.startswith(RECORD_KEY_PREFIX):
            return
        changed = self._store.get(key)
        record = record_codec.decode(changed.value)
        previous = self._decoded.get(key)
        self._decoded[key] = (changed.version, record)
        settled = _sum_settled(record)
        if previous is not None:
            settled -= _sum_settled(previous[1])
        self.unexplained_tokens += settled - self._charge_completed(key, record)

    def _charge_completed(
        self, key: str, record: account_record.AccountRecord
    ) -> int:
        """Count newly completed requests as charged; return their tokens."""
        billed = self._billed.setdefault(key, {})
        tokens = 0
        for key_hash, entry in record.requests.items():
            identity = (entry.incarnation, entry.run)
            if entry.state != request_entry.COMPLETED:
                continue
            if billed.get(key_hash) == identity:
                continue
            billed[key_hash] = identity
            tokens += entry.tokens
            self._meter.count_charge(entry.budget, key_hash, entry.tokens)
        return tokens

    def report(self) -> dict[str, int]:
        """Return the unbilled, free, granted and unexplained tokens."""
        totals = {"unbilled_tokens": 0, "free_tokens": 0, "granted_tokens": 0}
        for _, record in self._decoded.values():
            for budget in record.budgets.values():
                totals["unbilled_tokens"] += budget.unbilled
                totals["free_tokens"] += budget.free
                totals["granted_tokens"] += sum(
                    grant.tokens for grant in budget.grants.values()
                )
        totals["unexplained_tokens"] = self.unexplained_tokens
        return totals


def _sum_settled(record: account_record.AccountRecord) -> int:
    return sum(budget.settled for budget in record.budgets.values())
