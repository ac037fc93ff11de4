"""Evidence about a silent incarnation."""

from __future__ import annotations

from typing import NamedTuple


class Evidence(NamedTuple):
    """What one router has observed about a silent incarnation.

    Durations only, so that no two clocks are compared.

    Attributes:
        incarnation: Incarnation that is silent.
        unlisted_s: Seconds over which results from the list did not name it.
        unreachable_s: Seconds over which probes of it failed and none reached
            it.
        failed_probes: Number of these probes.
    """

    incarnation: str
    unlisted_s: float
    unreachable_s: float
    failed_probes: int
