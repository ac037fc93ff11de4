"""Delays of the ways to other data centres."""

from __future__ import annotations

# The shortest round trip of the last one to two windows counts, so that neither
# queues nor a path that has become longer are taken for the way.
WINDOW_S = 20.0


class RoundTrips:
    """Measures how much longer the way to another data centre is than at home.

    Args:
        own_data_centre: Data centre of this router.
    """

    def __init__(self, own_data_centre: str) -> None:
        self._own_data_centre = own_data_centre
        self._window_start_s = float("-inf")
        self._shortest_s: dict[str, float] = {}
        self._previous_s: dict[str, float] = {}

    def observe(
        self, data_centre: str, round_trip_s: float, now_s: float
    ) -> None:
        """Include the round trip of a message to another router.

        Args:
            data_centre: Data centre of the other router.
            round_trip_s: Seconds from the message to its answer.
            now_s: Monotonic time in seconds.
        """
        if now_s - self._window_start_s >= WINDOW_S:
            self._window_start_s = now_s
            self._previous_s, self._shortest_s = self._shortest_s, {}
        self._shortest_s[data_centre] = min(
            round_trip_s, self._shortest_s.get(data_centre, round_trip_s)
        )

    def extra_delay_s(self, data_centre: str) -> float:
        """Return how much longer a round trip is than one at home, in seconds.

        Returns:
            0 for the own data centre, and while too little is known.
        """
        away_s = self._shortest(data_centre)
        home_s = self._shortest(self._own_data_centre)
        if data_centre == self._own_data_centre or away_s is None:
            return 0.0
        return max(0.0, away_s - (home_s or 0.0))

    def _shortest(self, data_centre: str) -> float | None:
        found = [
            shortest[data_centre]
            for shortest in (self._shortest_s, self._previous_s)
            if data_centre in shortest
        ]
        return min(found, default=None)
