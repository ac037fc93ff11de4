"""Queue of the changes that wait for a confirmed write."""

from __future__ import annotations

from jasminetally._budget import pending_change
from jasminetally._ledger import claim_operations
from jasminetally._ledger import request_entry
from jasminetally._ledger import settlement_operations


class ChangeQueue:
    """Settlements and changes of claims, in the order in which they were made.

    The order matters, for instance because the release of a claim must precede
    a new claim of the same key.
    """

    def __init__(self, *, incarnation: str) -> None:
        self._incarnation = incarnation
        self._items: dict[int, pending_change.PendingChange] = {}
        # Settlements are due in queue order, so only the first one needs to be
        # checked. The few other changes may be due earlier and are kept
        # separately.
        self._claim_changes: dict[int, pending_change.PendingChange] = {}
        self._by_key: dict[str, list[pending_change.PendingChange]] = {}

    def __len__(self) -> int:
        return len(self._items)

    def __contains__(self, item: pending_change.PendingChange) -> bool:
        return id(item) in self._items

    def items(self) -> list[pending_change.PendingChange]:
        """Return the changes in queue order."""
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
        """Return the entry of a key as it will be after the queued changes.

        Args:
            key_hash: Hash of the key.
            found: Entry of the key in the confirmed record, or None.

        Returns:
            The entry, or None if there will be none.
        """
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
