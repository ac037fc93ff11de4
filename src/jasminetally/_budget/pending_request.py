"""Request that waits for tokens."""

from __future__ import annotations

from typing import NamedTuple

from jasminetally._budget import reserve_request


class PendingRequest(NamedTuple):
    """A reserve request with its arrival and its last moment, in seconds."""

    request: reserve_request.ReserveRequest
    arrived_s: float
    deadline_s: float
