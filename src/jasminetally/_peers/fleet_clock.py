"""Time of day on which most routers agree."""

from __future__ import annotations

import statistics

# With fewer clocks, the median can't exclude one that has jumped.
MIN_CLOCKS = 3
# Readings that are older are ignored.
READING_MAX_AGE_S = 3.0


class FleetClock:
    """Estimates the time of day as the median of the routers' clocks.

    The time of day of single instances jumps by seconds. The estimate is
    right as long as fewer than half of the clocks with a recent reading are
    wrong. Between readings it advances with the monotonic clock.
    """

    def __init__(self) -> None:
        self._readings: dict[str, tuple[float, float]] = {}

    def add_reading(
        self, node: str, time_of_day_s: float, now_s: float
    ) -> None:
        """Record a reading of a router's clock in place of its previous one.

        Args:
            node: Name of the router's instance.
            time_of_day_s: Time of day of that router in seconds.
            now_s: Monotonic time of this router in seconds.
        """
        self._readings[node] = (time_of_day_s - now_s, now_s)

    def time_of_day_at(self, now_s: float) -> float | None:
        """Return the time of day at a monotonic time of this router.

        Args:
            now_s: Monotonic time in seconds.

        Returns:
            Time of day in seconds; None if fewer than ``MIN_CLOCKS`` clocks
            have a recent reading.
        """
        offsets = [
            offset
            for offset, read_s in self._readings.values()
            if abs(now_s - read_s) <= READING_MAX_AGE_S
        ]
        if len(offsets) < MIN_CLOCKS:
            return None
        return now_s + statistics.median(offsets)
