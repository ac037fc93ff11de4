"""How long the answers to requests of each route take."""

from __future__ import annotations

import collections

# Latest answers of a route that are kept, and the share of them that took no
# longer than the time that is told.
KEPT_ANSWERS = 64
TOLD_SHARE = 0.9


class AnswerTimes:
    """Tells how long an answer to a request of a route is likely to take.

    Performs no I/O.
    """

    def __init__(self) -> None:
        self._latest_s: dict[str, collections.deque[float]] = {}

    def observe(self, route: str, seconds: float) -> None:
        """Note an answer.

        Args:
            route: Name of the route.
            seconds: Time from the request to the end of its answer.
        """
        if route not in self._latest_s:
            self._latest_s[route] = collections.deque(maxlen=KEPT_ANSWERS)
        self._latest_s[route].append(seconds)

    def likely_s(self, route: str) -> float | None:
        """Return the seconds that most answers took; None if there were none.

        Args:
            route: Name of the route.
        """
        latest_s = self._latest_s.get(route)
        if not latest_s:
            return None
        return sorted(latest_s)[int(TOLD_SHARE * (len(latest_s) - 1))]
