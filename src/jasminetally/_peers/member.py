"""State of another router as this router knows it."""

from __future__ import annotations

from jasminetally._peers import node_identity
from jasminetally._peers import peer_messages

# Statuses are exchanged four times a second; a router that missed four in a
# row is considered dead. In large fleets most routers exchange fewer statuses,
# so the peer selector sets longer timeouts for them.
DEFAULT_LIVENESS_TIMEOUT_S = 1.0


class Member:
    """State of another router as this router knows it.

    Attributes:
        identity: Identity of its latest known run.
        status: Its last status; None if none was received.
        last_heard_s: Monotonic time of its last status; minus infinity if none
            was received.
        first_listed_s: Monotonic time at which it was first found in a list of
            routers; None if it never was.
        connection_refused: Whether its instance refused the last connection,
            which means that the process has ended.
        liveness_timeout_s: Seconds without a status after which the router is
            considered dead.
    """

    def __init__(self, identity: node_identity.NodeIdentity) -> None:
        self.identity = identity
        self.status: peer_messages.Status | None = None
        self.last_heard_s = float("-inf")
        self.first_listed_s: float | None = None
        self.connection_refused = False
        self.liveness_timeout_s = DEFAULT_LIVENESS_TIMEOUT_S

    @property
    def last_known_s(self) -> float:
        """Monotonic time at which it was last heard or first listed."""
        if self.first_listed_s is None:
            return self.last_heard_s
        return max(self.last_heard_s, self.first_listed_s)
