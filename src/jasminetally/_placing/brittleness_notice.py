"""What a router knows about the brittleness of a service's servers."""

from __future__ import annotations

from typing import NamedTuple


class BrittlenessNotice(NamedTuple):
    """What a router knows about the brittleness of a service's servers.

    Routers send these to each other, so the order of the fields is fixed.

    Attributes:
        service: Name of the service.
        number: Number of the last change.
        max_rejections_per_s: Rejections a second that each of its servers
            bears; None if they are no longer brittle.
    """

    service: str
    number: int
    max_rejections_per_s: float | None
