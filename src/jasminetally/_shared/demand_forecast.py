"""Forecast of a budget's demand at one router."""

from __future__ import annotations

import math

# Time over which past demand loses its weight. Long enough to smooth single
# large requests, short enough to follow the start of an event.
DEMAND_DECAY_S = 10.0
# Weight of the latest request in the ratio of usage to upper bound.
RATIO_WEIGHT = 0.1
# The largest upper bound seen shrinks with this decay.
BOUND_DECAY_S = 60.0


class DemandForecast:
    """Exponentially weighted rate of expected usage, in tokens/s."""

    def __init__(self) -> None:
        self._sum = 0.0
        self._largest = 0.0
        self._at_s = 0.0
        self._started_s: float | None = None
        self._ratio = 1.0
        self.last_demand_s = -math.inf

    def start_at(self, rate: float, now_s: float) -> None:
        """Begin with a demand that another router has seen.

        Args:
            rate: Tokens/s; 0 if it is not known.
            now_s: Monotonic time in seconds.
        """
        if rate <= 0.0:
            return
        self._sum = rate * DEMAND_DECAY_S
        self._at_s = now_s
        self._started_s = -math.inf

    def observe(self, bound: int, now_s: float) -> None:
        """Count a request with an upper bound in tokens."""
        self._decay(now_s)
        if self._started_s is None:
            self._started_s = now_s
        self._sum += bound * self._ratio
        self._largest = max(self._largest, float(bound))
        self.last_demand_s = now_s

    def observe_usage(self, bound: int, used: int) -> None:
        """Count how much of an upper bound was used."""
        self._ratio += RATIO_WEIGHT * (used / max(1, bound) - self._ratio)

    def rate(self, now_s: float) -> float:
        """Return the expected demand in tokens/s."""
        self._decay(now_s)
        if self._started_s is None:
            return 0.0
        # Soon after the start the sum covers less than the decay time.
        age_s = max(1.0, now_s - self._started_s)
        weight = -math.expm1(-age_s / DEMAND_DECAY_S)
        return self._sum / (DEMAND_DECAY_S * weight)

    def largest_bound(self, now_s: float) -> float:
        """Return the largest recent upper bound in tokens."""
        self._decay(now_s)
        return self._largest

    def _decay(self, now_s: float) -> None:
        passed_s = now_s - self._at_s
        if passed_s <= 0:
            return
        self._sum *= math.exp(-passed_s / DEMAND_DECAY_S)
        self._largest *= math.exp(-passed_s / BOUND_DECAY_S)
        self._at_s = now_s
