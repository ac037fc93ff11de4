"""Forecast of the token demand on a budget or client account."""

from __future__ import annotations

import math

# Time constant with which past demand loses its weight. Long enough to smooth
# out single large requests, short enough to follow the start of an event.
DEMAND_DECAY_S = 10.0
# Weight of the latest request in the moving average of the ratio of used
# tokens to the request's upper bound.
USAGE_RATIO_SMOOTHING_FACTOR = 0.1
# Time constant with which the largest upper bound seen decays.
LARGEST_BOUND_DECAY_S = 60.0


class DemandForecast:
    """Exponentially weighted rate of expected token usage.

    Attributes:
        last_demand_s: Monotonic time in seconds of the latest observed demand;
            negative infinity before the first.
    """

    def __init__(self) -> None:
        self._weighted_tokens = 0.0
        self._largest_bound = 0.0
        self._updated_s = 0.0
        self._started_s: float | None = None
        self._usage_ratio = 1.0
        self.last_demand_s = -math.inf

    def set_initial_rate(self, rate: float, now_s: float) -> None:
        """Start from the demand that another router has observed.

        Args:
            rate: Demand in tokens/s; 0 if unknown, which changes nothing.
            now_s: Monotonic time in seconds.
        """
        if rate <= 0.0:
            return
        self._weighted_tokens = rate * DEMAND_DECAY_S
        self._updated_s = now_s
        self._started_s = -math.inf

    def observe_demand(self, bound: int, now_s: float) -> None:
        """Add the demand of a request.

        Args:
            bound: Upper bound of the tokens that the request uses; negative to
                subtract tokens that were granted and returned unused.
            now_s: Monotonic time in seconds.
        """
        self._decay(now_s)
        if self._started_s is None:
            self._started_s = now_s
        self._weighted_tokens += bound * self._usage_ratio
        self._largest_bound = max(self._largest_bound, float(bound))
        self.last_demand_s = now_s

    def observe_usage(self, bound: int, used: int) -> None:
        """Record the tokens that a finished request used of its upper bound.

        Args:
            bound: Upper bound of the request in tokens.
            used: Tokens that the request used.
        """
        self._usage_ratio += USAGE_RATIO_SMOOTHING_FACTOR * (
            used / max(1, bound) - self._usage_ratio
        )

    def rate(self, now_s: float) -> float:
        """Return the expected demand in tokens/s."""
        self._decay(now_s)
        if self._started_s is None:
            return 0.0
        # Shortly after the start, the sum holds only this fraction of its
        # steady-state value. The minimum age of 1 s limits the rate derived
        # from the first requests.
        age_s = max(1.0, now_s - self._started_s)
        fraction = -math.expm1(-age_s / DEMAND_DECAY_S)
        return self._weighted_tokens / (DEMAND_DECAY_S * fraction)

    def largest_bound(self, now_s: float) -> float:
        """Return the largest recent upper bound of a request in tokens."""
        self._decay(now_s)
        return self._largest_bound

    def _decay(self, now_s: float) -> None:
        elapsed_s = now_s - self._updated_s
        if elapsed_s <= 0:
            return
        self._weighted_tokens *= math.exp(-elapsed_s / DEMAND_DECAY_S)
        self._largest_bound *= math.exp(-elapsed_s / LARGEST_BOUND_DECAY_S)
        self._updated_s = now_s
