"""What a router knows about a backend server's limit on requests."""

from __future__ import annotations

from typing import NamedTuple


class LimitNotice(NamedTuple):
    """What a router knows about a backend server's limit on requests.

    Routers send these to each other, so the order of the fields is fixed.

    Attributes:
        server_id: Id of the server.
        started_ms: Start of its incarnation in Unix milliseconds.
        number: Number of the last change of the limit.
        limit_per_s: Requests a second that the server takes from all routers
            together; None if it no longer names a limit.
    """

    server_id: str
    started_ms: int
    number: int
    limit_per_s: float | None
