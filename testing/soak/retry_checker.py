"""Check that routers send no more repeats than their budget allows."""

from __future__ import annotations

import bisect
import collections

# The routers' settings in the soak.
RETRY_RATIO = 0.2
WINDOW_S = 10.0
EXTRA_RETRIES = 20


class RetryChecker:
    """Counts requests and repeated arrivals at servers by service.

    Arrivals beyond the first of each request count as repeats, also those that
    a server turns away. The requests of a window are those of the window, of
    the one before it or of the one half a window before, whichever has most.
    """

    def __init__(self) -> None:
        self._sent_s: dict[str, list[float]] = collections.defaultdict(list)
        self._repeats_s: dict[str, list[float]] = collections.defaultdict(list)
        self._arrived: set[str] = set()

    def on_sent(self, service: str, now_s: float) -> None:
        """Record that a caller sends a request for a service."""
        self._sent_s[service].append(now_s)

    def on_arrival(self, service: str, request_id: str, now_s: float) -> None:
        """Record that a request reaches a server."""
        if request_id in self._arrived:
            self._repeats_s[service].append(now_s)
        self._arrived.add(request_id)

    def find_violations(self) -> list[str]:
        """Return descriptions of the windows with too many repeats."""
        violations = []
        for service, repeats_s in self._repeats_s.items():
            sent_s = self._sent_s[service]
            for end_s in repeats_s:
                repeats = _count(repeats_s, end_s)
                requests = max(
                    _count(sent_s, end_s - shift * WINDOW_S)
                    for shift in (0.0, 0.5, 1.0)
                )
                if repeats > RETRY_RATIO * requests + EXTRA_RETRIES:
                    violations.append(
                        f"{service} got {repeats} repeats in {WINDOW_S:g} s for"
                        f" {requests} requests"
                    )
        return violations


def _count(times_s: list[float], end_s: float) -> int:
    """Return how many sorted times lie in the window before a time."""
    return bisect.bisect_right(times_s, end_s) - bisect.bisect_right(
        times_s, end_s - WINDOW_S
    )
