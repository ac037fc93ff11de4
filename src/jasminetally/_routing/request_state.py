"""States of a request in the dispatcher."""

from __future__ import annotations

import enum


class RequestState(enum.Enum):
    """State of a request in the dispatcher.

    Attributes:
        QUEUED: It waits for a server.
        ASKING: It is a crash suspect and waits for the agreement of the peers.
        CLAIMING: Its claim is being written.
        RUNNING: An attempt is in flight.
        BROKEN: Its stream broke and will be resumed after a delay.
    """

    QUEUED = "queued"
    ASKING = "asking"
    CLAIMING = "claiming"
    RUNNING = "running"
    BROKEN = "broken"
