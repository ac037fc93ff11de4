"""Request that waits for the tokens of its budget."""

from __future__ import annotations

from typing import NamedTuple

from jasminetally._budget import reserve_request


class PendingRequest(NamedTuple):
    """A waiting request with its times, in monotonic seconds.

    Attributes:
        request: The request.
        arrived_s: Time of arrival.
        deadline_s: Time at which the request is refused.
    """

    request: reserve_request.ReserveRequest
    arrived_s: float
    deadline_s: float
