"""State of a router process."""

from __future__ import annotations

import enum


class RouterState(enum.Enum):
    """State of a router process; GONE is known of peers only."""

    STARTING = "starting"
    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"
