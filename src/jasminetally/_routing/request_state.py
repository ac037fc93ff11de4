"""States of a request in the dispatcher."""

from __future__ import annotations

import enum


class RequestState(enum.Enum):
    """Where a request stands.

    ``ASKING``: peers are asked about a crash suspect; ``CLAIMING``: a claim
    is being written; ``BROKEN``: its stream waits to be resumed.
    """

    QUEUED = "queued"
    ASKING = "asking"
    CLAIMING = "claiming"
    RUNNING = "running"
    BROKEN = "broken"
