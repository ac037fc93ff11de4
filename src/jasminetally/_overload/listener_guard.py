"""Bounds that apply to the connections of one listener."""

from __future__ import annotations

import math

from jasminetally._overload import client_refusals
from jasminetally._overload import connection_limiter
from jasminetally._overload import memory_tracker


class ListenerGuard:
    """Groups what the connections of one listener need to keep to the bounds.

    Args:
        name: Name of the listener, for the log and the metrics.
        memory: Tracks the memory of the connections of all listeners.
        max_connections: Connections that may be open.
        refusals: Counts the clients that are refused.

    Attributes:
        name: Name of the listener.
        memory: Tracks the memory of the connections of all listeners.
        connections: Limits the number of connections.
    """

    def __init__(
        self,
        name: str,
        memory: memory_tracker.MemoryTracker,
        max_connections: float,
        refusals: client_refusals.ClientRefusals,
    ) -> None:
        self.name = name
        self.memory = memory
        self.connections = connection_limiter.ConnectionLimiter(max_connections)
        self._refusals = refusals

    def count_refusal(
        self, reason: str, client: str, held_bytes: int = 0
    ) -> None:
        """Count a refused request or a closed connection.

        Args:
            reason: Code of the reason.
            client: IP address of the client.
            held_bytes: Memory that the connection held.
        """
        self._refusals.count(self.name, reason, client, held_bytes)


def unlimited() -> ListenerGuard:
    """Return a guard without bounds, which reports nothing."""
    refusals = client_refusals.ClientRefusals(
        lambda listener, reason: None, lambda report: None
    )
    return ListenerGuard("", memory_tracker.MemoryTracker(), math.inf, refusals)
