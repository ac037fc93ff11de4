"""Queue of settlements and claims that wait for a confirmed write."""

from __future__ import annotations

from jasminetally._budget import pending_change
from jasminetally._ledger import claim_operations
from jasminetally._ledger import request_entry
from jasminetally._ledger import settlement_operations


class ChangeQueue:
    """Changes in order, so that a release precedes a new claim of its key."""

    def __init__(self, *, incarnation: str) -> None:
        self._incarnation = incarnation
        self._items: dict[int, pending_change.PendingChange] = {}
        # Claims and releases are few and due early; settlements are due in
        # the order in which they were queued.
        self._claim_changes: dict[int, pending_change.PendingChange] = {}
        self._by_key: dict[str, list[pending_change.PendingChange]] = {}

    def __len__(self) -> int:
        return len(self._items)

    def __contains__(self, item: pending_change.PendingChange) -> bool:
        return id(item) in self._items

    def items(self) -> list[pending_change.PendingChange]:
        """Return the changes in order."""
        return list(self._items.values())

    def push(self, item: pending_change.PendingChange) -> None:
        """Append a change."""
        self._items[id(item)] = item
        if not isinstance(item.operation, settlement_operations.SettleUsage):
            self._claim_changes[id(item)] = item
        if item.operation.key_hash is not None:
            self._by_key.setdefault(item.operation.key_hash, []).append(item)

    def remove(self, item: pending_change.PendingChange) -> bool:
        """Remove a change; return False if it was not queued."""
        if self._items.pop(id(item), None) is None:
            return False
        self._claim_changes.pop(id(item), None)
        key_hash = item.operation.key_hash
        if key_hash is not None:
            self._by_key[key_hash].remove(item)
            if not self._by_key[key_hash]:
                del self._by_key[key_hash]
        return True

    def due_s(self) -> float | None:
        """Return the earliest due time, or None if the queue is empty."""
        if not self._items:
            return None
        first = next(iter(self._items.values()))
        due_times_s = [item.due_s for item in self._claim_changes.values()]
        return min([first.due_s, *due_times_s])

    def claims(self) -> list[pending_change.PendingChange]:
        """Return the queued claims."""
        return [
            item
            for item in self._claim_changes.values()
            if isinstance(item.operation, claim_operations.Claim)
        ]

    def find_request_entry(
        self, key_hash: str, found: request_entry.RequestEntry | None
    ) -> request_entry.RequestEntry | None:
        """Return a key's entry as it will be after the queued changes."""
        for item in self._by_key.get(key_hash, ()):
            match item.operation:
                case settlement_operations.SettleUsage() as settle:
                    found = self._completed_entry(settle, found)
                case claim_operations.ReleaseClaim():
                    found = None
                case claim_operations.Claim() as claim if found is None:
                    found = request_entry.RequestEntry(
                        request_entry.CLAIMED,
                        claim.fingerprint,
                        claim.budget,
                        0,
                        claim.incarnation,
                        claim.server,
                        0.0,
                    )
                case claim_operations.MarkClaimUnknown() if found is not None:
                    found = found._replace(state=request_entry.UNKNOWN)
        return found

    def _completed_entry(
        self,
        settle: settlement_operations.SettleUsage,
        found: request_entry.RequestEntry | None,
    ) -> request_entry.RequestEntry:
        if found is not None and found.state == request_entry.COMPLETED:
            return found
        return request_entry.RequestEntry(
            request_entry.COMPLETED,
            settle.fingerprint,
            settle.budget,
            settle.tokens,
            self._incarnation,
            settle.server,
            0.0,
            settle.run,
        )
