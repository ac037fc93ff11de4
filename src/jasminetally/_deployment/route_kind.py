"""Kind of a route: whether its requests stream and may run more than once."""

from __future__ import annotations

import enum


class RouteKind(enum.Enum):
    """Whether a route's requests stream and may run more than once.

    Attributes:
        SAFE: A request may run more than once.
        UNSAFE: A request runs at most once.
        STREAM: The answer is a stream of events. A request runs at most once,
            unless its route allows streams to be resumed.
    """

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"
