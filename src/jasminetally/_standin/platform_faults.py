"""Faults and rate limits of the platform stand-in."""

from __future__ import annotations

from typing import NamedTuple


class PlatformFaults(NamedTuple):
    """Faults that the platform stand-in injects, and its rate limits.

    The field names are the JSON keys of ``POST /admin/faults``. Calls above a
    rate limit are answered with status 429.

    Attributes:
        outage: Whether every call is refused with status 503 and not applied.
        delay_s: Seconds added to each call.
        lost_replies: Number of next writes that are applied but answered with
            status 504, like a write whose reply is lost.
        writes_per_s: Rate limit for writes, per second.
        reads_per_s: Rate limit for reads and watches together, per second.
        weight_loads_per_s: Rate limit for loads from the weight store, per
            second.
    """

    outage: bool = False
    delay_s: float = 0.0
    lost_replies: int = 0
    writes_per_s: float = 300.0
    reads_per_s: float = 2000.0
    weight_loads_per_s: float = 2.0
