"""Kind of the requests of a route."""

from __future__ import annotations

import enum


class RouteKind(enum.Enum):
    """Says what may be repeated.

    Attributes:
        SAFE: The request may run more than once.
        UNSAFE: The request runs at most once.
        STREAM: The answer is a stream of events; the request runs at most
            once unless its route says that streams can be resumed.
    """

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"
