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
