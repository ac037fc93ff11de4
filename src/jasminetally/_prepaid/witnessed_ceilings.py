"""Ceilings that a router holds for the owners of shards."""

from __future__ import annotations

from jasminetally._prepaid import ceiling_quorum

# Epochs of a shard whose ceilings are kept: those of the owner, and of the
# previous one, which the owner may still ask for.
KEPT_EPOCHS = 2


class WitnessedCeilings:
    """Holds the newest ceilings of each shard and closes ended epochs.

    Performs no I/O. What a router holds ends with its process, so owners and
    successors address a witness by its incarnation.
    """

    def __init__(self) -> None:
        self._vectors: dict[int, dict[int, ceiling_quorum.CeilingVector]] = {}
        # Newest epoch that is closed, and newest whose ceilings were dropped.
        self._closed_epochs: dict[int, int] = {}
        self._dropped_epochs: dict[int, int] = {}

    def store_vector(
        self, shard: int, epoch: int, vector: ceiling_quorum.CeilingVector
    ) -> bool:
        """Store the ceilings of an owner.

        Args:
            shard: Shard of accounts.
            epoch: Epoch of the owner.
            vector: The ceilings.

        Returns:
            Whether this vector or a newer one of the epoch is held; False if
            the epoch is closed.
        """
        if epoch <= self._closed_epochs.get(shard, 0):
            return False
        if epoch <= self._dropped_epochs.get(shard, 0):
            return False
        held = self._vectors.setdefault(shard, {})
        if epoch not in held or held[epoch].number < vector.number:
            held[epoch] = vector
        while len(held) > KEPT_EPOCHS:
            oldest = min(held)
            del held[oldest]
            self._dropped_epochs[shard] = oldest
        return True

    def close_all_epochs(self, shard: int, epoch: int) -> None:
        """Accept no more ceilings of any epoch up to one.

        Args:
            shard: Shard of accounts.
            epoch: Highest epoch to close; 0 for none.
        """
        self._closed_epochs[shard] = max(
            epoch, self._closed_epochs.get(shard, 0)
        )

    def newest_vector(
        self, shard: int
    ) -> tuple[int, ceiling_quorum.CeilingVector]:
        """Return the highest epoch of a shard and its newest ceilings.

        Both have the number 0 if none was ever held.
        """
        held = self._vectors.get(shard)
        if not held:
            return 0, ceiling_quorum.CeilingVector(0, {})
        epoch = max(held)
        return epoch, held[epoch]

    def close_epoch(
        self, shard: int, epoch: int
    ) -> ceiling_quorum.CeilingVector | None:
        """Accept no more ceilings of an epoch and return the newest ones.

        Args:
            shard: Shard of accounts.
            epoch: Epoch of the previous owner.

        Returns:
            The newest vector of the epoch; one with the number 0 if none was
            ever held, and None if it is no longer known.
        """
        if epoch <= self._dropped_epochs.get(shard, 0):
            return None
        self.close_all_epochs(shard, epoch)
        return self._vectors.get(shard, {}).get(
            epoch, ceiling_quorum.CeilingVector(0, {})
        )
