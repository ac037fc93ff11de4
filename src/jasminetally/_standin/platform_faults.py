"""Faults of the platform stand-in."""

from __future__ import annotations

from typing import NamedTuple


class PlatformFaults(NamedTuple):
    """Faults that the platform stand-in injects.

    Attributes:
        outage: Refuse every call; nothing is applied.
        delay_s: Seconds added to each call.
        lost_replies: The next writes, by count, take effect but their replies
            are lost.
        writes_per_s: Highest rate of writes; more get status 429.
        reads_per_s: Highest rate of reads and watches.
        weight_loads_per_s: Highest rate of loads from the weight store.
    """

    outage: bool = False
    delay_s: float = 0.0
    lost_replies: int = 0
    writes_per_s: float = 300.0
    reads_per_s: float = 2000.0
    weight_loads_per_s: float = 2.0
