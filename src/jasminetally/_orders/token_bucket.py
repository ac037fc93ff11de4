"""Token bucket in front of the weight store."""

from __future__ import annotations


class TokenBucket:
    """Limits the rate of loads, and stays closed as long as the store says."""

    def __init__(self, *, rate_per_s: float, burst: float) -> None:
        """Prepare a full bucket.

        Args:
            rate_per_s: Loads per second in the long run.
            burst: Loads that may start at once.
        """
        self._rate_per_s = rate_per_s
        self._burst = burst
        self._level = burst
        self._filled_s: float | None = None
        self._closed_until_s = 0.0

    def take(self, now_s: float) -> float:
        """Take one load.

        Returns:
            0 when it may start now, else the seconds to wait before the next
            try; nothing is taken then.
        """
        if self._filled_s is not None:
            gained = max(0.0, now_s - self._filled_s) * self._rate_per_s
            self._level = min(self._burst, self._level + gained)
        self._filled_s = now_s
        if now_s < self._closed_until_s:
            return self._closed_until_s - now_s
        if self._level < 1.0:
            return (1.0 - self._level) / self._rate_per_s
        self._level -= 1.0
        return 0.0

    def close(self, *, retry_after_s: float, now_s: float) -> None:
        """Start no load until the time that the store has given."""
        self._closed_until_s = max(self._closed_until_s, now_s + retry_after_s)
