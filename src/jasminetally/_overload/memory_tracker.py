"""Memory that the connections of all clients make the router hold."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from jasminetally._overload import held_memory

# Share of the limit to which the largest holders give up memory once it is
# exceeded. Choosing them takes a pass over all connections.
RELEASE_TARGET_RATIO = 0.9
# Largest share of the limit that requests which are being handled may take. The
# rest is left to requests that arrive, so that small ones still do.
HANDLED_RATIO = 0.75
# Share of the limit from which answers are no longer collected until they are
# complete.
SHORT_RATIO = 0.75


class MemoryTracker:
    """Adds up what all connections hold and bounds it.

    Memory is tracked by what objects cost, not by bytes on the wire. Above the
    limit, the connections that hold the most give up what they can. Nobody
    waits for memory, so that no two connections can wait for each other, and a
    connection that holds little is not affected by those that hold much.

    Performs no I/O.

    Args:
        limit_bytes: Largest sum; infinity for no limit.
    """

    def __init__(self, limit_bytes: float = math.inf) -> None:
        self.limit_bytes = limit_bytes
        self._total_bytes = 0
        self._handled_bytes = 0
        self._held: set[held_memory.HeldMemory] = set()

    @property
    def total_bytes(self) -> int:
        """What all connections hold."""
        return self._total_bytes

    @property
    def short(self) -> bool:
        """Whether little memory is left."""
        return self._total_bytes > SHORT_RATIO * self.limit_bytes

    def register(self, held: held_memory.HeldMemory) -> None:
        """Start tracking the memory of a connection."""
        self._held.add(held)

    def unregister(self, held: held_memory.HeldMemory) -> None:
        """Stop tracking the memory of a connection, which holds nothing."""
        self._held.discard(held)

    def add(self, size: int, *, handled: int) -> None:
        """Count a change of what a connection holds.

        Args:
            size: Change in bytes.
            handled: Part of it that belongs to a request that is handled.
        """
        self._total_bytes += size
        self._handled_bytes += handled

    def may_ever_fit(self, size: int) -> bool:
        """Return whether a request of a size may be handled beside no other.

        Args:
            size: Bytes that it takes while it is handled.
        """
        return size <= HANDLED_RATIO * self.limit_bytes

    def has_room(self, size: int) -> bool:
        """Return whether a request of a size may be handled.

        Args:
            size: Bytes that it takes while it is handled.
        """
        return self._handled_bytes + size <= HANDLED_RATIO * self.limit_bytes

    def enforce_limit(self, extra: int = 0) -> None:
        """Make the largest holders give up memory if the limit is exceeded.

        Args:
            extra: Bytes for which there must be room.
        """
        if self._total_bytes + extra <= self.limit_bytes:
            return
        # Clients may have read answers since their memory was set.
        for held in tuple(self._held):
            held.holder.update_held_memory()
        if self._total_bytes + extra <= self.limit_bytes:
            return
        target_bytes = RELEASE_TARGET_RATIO * self.limit_bytes - extra
        for held in sorted(
            self._held, key=lambda held: held.releasable_bytes, reverse=True
        ):
            if self._total_bytes <= target_bytes or held.is_idle:
                return
            held.holder.release_memory()
