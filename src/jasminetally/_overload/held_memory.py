"""Memory that one connection of a client makes the router hold."""

from __future__ import annotations

from typing import TYPE_CHECKING

from jasminetally._overload import object_costs

if TYPE_CHECKING:
    from jasminetally._overload import memory_holder
    from jasminetally._overload import memory_tracker


class HeldMemory:
    """Part of the tracked memory that belongs to one connection.

    Args:
        tracker: Adds up the memory of all connections.
        holder: The connection.

    Attributes:
        holder: The connection.
        releasable_bytes: Input that has not been handled and answers that the
            client has not read. The connection may have to give it up.
        handled_bytes: Memory of the request that is being handled, which the
            connection keeps until the answer is complete.
    """

    def __init__(
        self,
        tracker: memory_tracker.MemoryTracker,
        holder: memory_holder.MemoryHolder,
    ) -> None:
        self.holder = holder
        self.releasable_bytes = 0
        self.handled_bytes = 0
        self._tracker = tracker

    @property
    def is_idle(self) -> bool:
        """Whether the connection has nothing to give up but itself."""
        return self.releasable_bytes <= object_costs.CONNECTION_BYTES

    @property
    def total_bytes(self) -> int:
        """Everything that the connection holds."""
        return self.releasable_bytes + self.handled_bytes

    def open(self) -> None:
        """Start tracking the connection, which has been set up."""
        self._tracker.register(self)

    def set_releasable(self, size: int) -> None:
        """Set what the connection may have to give up.

        Args:
            size: Size in bytes.
        """
        self._tracker.add(size - self.releasable_bytes, handled=0)
        self.releasable_bytes = size

    def set_handled(self, size: int) -> None:
        """Set what the request that is being handled takes.

        Args:
            size: Size in bytes.
        """
        change = size - self.handled_bytes
        self._tracker.add(change, handled=change)
        self.handled_bytes = size

    def close(self) -> None:
        """Stop tracking the connection, which is closed."""
        self.set_releasable(0)
        self.set_handled(0)
        self._tracker.unregister(self)
