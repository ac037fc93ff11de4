"""Token bucket."""

from __future__ import annotations

import threading


class RateLimit:
    """Allow calls at a rate, with bursts of up to one second's worth.

    Args:
        rate_per_s: Calls per second.
        now_s: Current monotonic time in seconds.
    """

    def __init__(self, rate_per_s: float, now_s: float) -> None:
        self._lock = threading.Lock()
        self._rate_per_s = rate_per_s
        self._tokens = max(1.0, rate_per_s)
        self._updated_s = now_s

    def take(self, now_s: float) -> float:
        """Take one call; return 0, or the seconds to wait when none is left."""
        with self._lock:
            elapsed_s = now_s - self._updated_s
            self._updated_s = now_s
            self._tokens = min(
                max(1.0, self._rate_per_s),
                self._tokens + elapsed_s * self._rate_per_s,
            )
            if self._tokens >= 1.0:
                self._tokens -= 1.0
                return 0.0
            return (1.0 - self._tokens) / self._rate_per_s
