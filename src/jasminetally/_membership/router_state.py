"""State of a router process."""

from __future__ import annotations

import enum


class RouterState(enum.Enum):
    """State of a router process.

    A router that is GONE has drained and deleted its status object, so this
    state is seen in messages to peers only.
    """

    STARTING = "starting"
    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"

    def follows(self, other: RouterState) -> bool:
        """Return whether a router can change from another state to this one.

        A process passes through the states in their order and never goes back.
        """
        states = list(RouterState)
        return states.index(self) > states.index(other)
