"""Ceilings on the tokens of a shard, held in the memory of other routers."""

from __future__ import annotations

from collections.abc import Mapping
from collections.abc import Sequence
from typing import NamedTuple

# Routers that hold the ceilings of a shard. A majority of them survives the
# loss of any one.
WITNESS_COUNT = 3
# Vectors that are remembered while no majority acknowledges them.
MAX_VECTORS = 32


class CeilingVector(NamedTuple):
    """Ceilings of all accounts of a shard.

    Attributes:
        number: Number of the vector, ascending within an epoch.
        ceilings: Highest total of tokens that may be handed out, by account.
        witness_sets: Groups of routers of each of which a majority must hold a
            vector before more is handed out; empty if not known.
    """

    number: int
    ceilings: Mapping[str, int]
    witness_sets: tuple[tuple[str, ...], ...] = ()


class CeilingQuorum:
    """Tracks which ceilings a successor of this owner could read.

    The bound in the store changes seldom, so that it also covers outages of the
    store, and most of it is stranded when an owner fails. Ceilings lie closer
    to what is handed out: a majority of the witnesses named in the stored
    record must hold them before the owner hands out more. A successor reads
    the newest vector from a majority, so it learns an upper bound on what the
    owner handed out. Performs no I/O.

    Args:
        first_number: Number of the first vector; above all earlier ones of the
            epoch.

    Attributes:
        next_number: Number of the next vector.
    """

    def __init__(self, first_number: int = 1) -> None:
        self.next_number = first_number
        self._vectors: list[CeilingVector] = []
        self._acknowledged: dict[str, int] = {}

    def add_vector(self, ceilings: Mapping[str, int]) -> CeilingVector:
        """Return a new vector, which may be read as soon as it is sent."""
        vector = CeilingVector(self.next_number, dict(ceilings))
        self.next_number += 1
        self._vectors = [*self._vectors[-MAX_VECTORS + 1 :], vector]
        return vector

    def on_acknowledged(self, witness: str, number: int) -> None:
        """Note that a witness holds a vector or a newer one."""
        self._acknowledged[witness] = max(
            number, self._acknowledged.get(witness, 0)
        )

    def newest_held(self, witnesses: Sequence[str]) -> int:
        """Return the newest number that a majority holds; 0 for none."""
        numbers = sorted(
            (self._acknowledged.get(witness, 0) for witness in witnesses),
            reverse=True,
        )
        return numbers[majority(witnesses) - 1]

    def limit(self, witnesses: Sequence[str], account: str) -> int:
        """Return the total of tokens of an account that may be handed out.

        Any vector from the newest one that a majority holds may be read by a
        successor, so the lowest of their ceilings applies.

        Args:
            witnesses: Routers that hold the vectors; not empty.
            account: Client account; 0 is returned for one without a ceiling.
        """
        newest_held = self.newest_held(witnesses)
        readable = [
            vector for vector in self._vectors if vector.number >= newest_held
        ]
        if not readable or readable[0].number != newest_held:
            # No majority holds a vector, or the one held is not remembered.
            return 0
        return min(vector.ceilings.get(account, 0) for vector in readable)

    def discard_unreadable(self, witness_sets: Sequence[Sequence[str]]) -> None:
        """Drop the vectors that no successor reads any more.

        Args:
            witness_sets: Witnesses of all records that may be the stored one.
        """
        oldest = min(map(self.newest_held, witness_sets), default=0)
        self._vectors = [
            vector for vector in self._vectors if vector.number >= oldest
        ]


def majority(witnesses: Sequence[str]) -> int:
    """Return how many witnesses are a majority."""
    return len(witnesses) // 2 + 1
