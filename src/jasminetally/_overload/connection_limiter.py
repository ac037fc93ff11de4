"""Number of connections that the clients of one listener hold."""

from __future__ import annotations

from typing import NamedTuple
from typing import Protocol

# Share of the limit that is closed at a time once it is reached. Choosing the
# connections takes a pass over all.
CLOSED_RATIO = 1 / 16


class IdleState(NamedTuple):
    """Order in which connections without a request are closed, least first.

    Attributes:
        was_used: Whether the connection has brought anything that was handled.
        since_s: Monotonic time in seconds since which it waits for the client.
    """

    was_used: bool
    since_s: float


class LimitedConnection(Protocol):
    """Connection that counts towards a limit."""

    def idle_state(self) -> IdleState | None:
        """Return since when the client has nothing handled; None if it has."""

    def close_for_others(self) -> None:
        """Close the connection at once, since others need its descriptor."""


class ConnectionLimiter:
    """Limits how many connections are open at a listener.

    At the limit, connections that wait for their clients give way to new ones:
    first those that have never brought a request, then the others, the longest
    idle first. Where all connections have a request that is handled, a new one
    is refused. Performs no I/O.

    Args:
        max_connections: Connections that may be open.

    Attributes:
        open_connections: Number of open connections, including those that have
            been accepted and are being set up.
        max_connections: Connections that may be open.
    """

    def __init__(self, max_connections: float) -> None:
        self.max_connections = max_connections
        self.open_connections = 0
        self._connections: set[LimitedConnection] = set()

    @property
    def full(self) -> bool:
        """Whether as many connections are open as may be."""
        return self.open_connections >= self.max_connections

    def on_accepted(self) -> None:
        """Count a connection that was accepted."""
        self.open_connections += 1

    def on_made(self, conn: LimitedConnection) -> None:
        """Note that an accepted connection has been set up."""
        self._connections.add(conn)

    def on_closed(self, conn: LimitedConnection | None) -> None:
        """Note that a connection is closed.

        Args:
            conn: The connection; None if it was not set up.
        """
        self.open_connections -= 1
        if conn is not None:
            self._connections.discard(conn)

    def make_room(self) -> bool:
        """Close connections that wait for their clients.

        Returns:
            Whether any was closed.
        """
        idle = []
        for conn in self._connections:
            state = conn.idle_state()
            if state is not None:
                idle.append((state, id(conn), conn))
        idle.sort()
        for _, _, conn in idle[: max(1, int(CLOSED_RATIO * len(idle)))]:
            conn.close_for_others()
        return bool(idle)
