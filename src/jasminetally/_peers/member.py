"""What a router knows of another one."""

from __future__ import annotations

from jasminetally._peers import node_identity
from jasminetally._peers import peer_messages

# Statuses are exchanged four times a second; a router that missed four in a
# row is taken as gone. Large fleets set longer limits for most routers.
SILENCE_LIMIT_S = 1.0


class Member:
    """What a router knows of another one.

    Attributes:
        identity: Identity of its latest run that is known.
        status: What it said last; None if it was never heard.
        heard_s: Time of its last message; minus infinity for none.
        refused: It refused the last connection: its process is gone.
        silence_limit_s: Seconds without a word after which it counts as gone.
    """

    def __init__(self, identity: node_identity.NodeIdentity) -> None:
        self.identity = identity
        self.status: peer_messages.Status | None = None
        self.last_heard_s = float("-inf")
        self.connection_refused = False
        self.liveness_timeout_s = SILENCE_LIMIT_S
