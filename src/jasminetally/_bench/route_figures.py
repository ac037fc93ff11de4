"""Results of one policy in one scenario of the route bench."""

from __future__ import annotations

import collections

KEYS = (
    "submitted",
    "accepted",
    "refused",
    "refused_after_wait",
    "whole_in_time",
    "late",
    "lost",
    "unknown",
    "stopped",
    "prefix_hits",
)


class RouteFigures:
    """Counts of requests by outcome, in all and for each tier.

    ``accepted`` are the requests that were not refused as not run. They end
    ``whole_in_time``, ``late``, ``unknown`` (may not be repeated, and its
    engine ended), ``stopped`` (crashes engines) or ``lost`` (any other end
    without an answer).
    """

    def __init__(self) -> None:
        self.crashes = 0
        self.runs = 0
        self._tiers: dict[str, collections.Counter[str]] = {}

    def count_request(self, tier: str, key: str) -> None:
        """Count a request under a key."""
        self._tiers.setdefault(tier, collections.Counter())[key] += 1

    def add(self, other: RouteFigures) -> None:
        """Add the counts of another scenario."""
        self.crashes += other.crashes
        self.runs += other.runs
        for tier, counts in other._tiers.items():
            self._tiers.setdefault(tier, collections.Counter()).update(counts)

    def export(self) -> dict[str, object]:
        """Return the figures for JSON."""
        total: collections.Counter[str] = collections.Counter()
        for counts in self._tiers.values():
            total.update(counts)
        return {
            **{key: total[key] for key in KEYS},
            "crashes": self.crashes,
            "runs": self.runs,
            "tiers": {
                tier: {key: counts[key] for key in KEYS}
                for tier, counts in sorted(self._tiers.items())
            },
        }
