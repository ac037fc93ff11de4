"""Token bucket."""

from __future__ import annotations

# Actions that may start at once after a quiet time, where nothing else is said.
DEFAULT_BURST = 5.0


class TokenBucket:
    """Limit the rate of an action. Not safe for use by several threads.

    Args:
        rate_per_s: Actions per second in the long run.
        burst: Actions that may start at once; the bucket begins full.
    """

    def __init__(
        self, *, rate_per_s: float, burst: float = DEFAULT_BURST
    ) -> None:
        self._rate_per_s = rate_per_s
        self._burst = burst
        self._level = burst
        self._filled_s: float | None = None
        self._closed_until_s = 0.0

    def set_rate(self, rate_per_s: float) -> None:
        """Change the rate, in actions per second."""
        self._rate_per_s = rate_per_s

    def take(self, now_s: float) -> float:
        """Take one action.

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

    def try_take(self, now_s: float) -> bool:
        """Take one action; return False if the rate does not allow it."""
        return self.take(now_s) == 0.0

    def close(self, *, retry_after_s: float, now_s: float) -> None:
        """Start nothing until the time that the limited side has given."""
        self._closed_until_s = max(self._closed_until_s, now_s + retry_after_s)
