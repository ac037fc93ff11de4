"""Figures of one policy in the route bench."""

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
    """Counts of requests by outcome, in total and for each tier.

    ``accepted`` counts the requests that were not refused as not run. Each of
    them ends as ``whole_in_time``, ``late``, ``unknown`` (unrepeatable, and
    its engine failed), ``stopped`` (crashes engines) or ``lost`` (any other
    end without an answer).

    Attributes:
        crashes: Number of engine crashes.
        runs: Number of attempts that were started.
    """

    def __init__(self) -> None:
        self.crashes = 0
        self.runs = 0
        self._tiers: dict[str, collections.Counter[str]] = {}

    def count_request(self, tier: str, key: str) -> None:
        """Count a request of a tier under one of ``KEYS``."""
        self._tiers.setdefault(tier, collections.Counter())[key] += 1

    def add(self, other: RouteFigures) -> None:
        """Add the figures of another scenario."""
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
