"""Time of day on which most routers agree."""

from __future__ import annotations

import statistics

# Fewer clocks than this can't outvote one that has jumped.
LEAST_CLOCKS = 3
# A reading that was not renewed for this long is left out.
READING_LIMIT_S = 3.0


class FleetClock:
    """Estimate the time of day as the median of the routers' clocks.

    The time of day of single instances jumps by seconds. The estimate is
    right as long as fewer than half of the clocks that take part are wrong.
    Between readings it advances with the monotonic clock.
    """

    def __init__(self) -> None:
        self._readings: dict[str, tuple[float, float]] = {}

    def add_reading(
        self, node: str, time_of_day_s: float, now_s: float
    ) -> None:
        """Note the clock of a router.

        Args:
            node: Name of its instance.
            time_of_day_s: Its time of day, in seconds.
            now_s: Monotonic time of this router.
        """
        self._readings[node] = (time_of_day_s - now_s, now_s)

    def time_of_day_at(self, now_s: float) -> float | None:
        """Return the time of day at a monotonic time of this router.

        Returns:
            Seconds, or None if too few clocks are known.
        """
        offsets = [
            offset
            for offset, read_s in self._readings.values()
            if abs(now_s - read_s) <= READING_LIMIT_S
        ]
        if len(offsets) < LEAST_CLOCKS:
            return None
        return now_s + statistics.median(offsets)
