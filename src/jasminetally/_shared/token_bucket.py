"""Token bucket rate limiter."""

from __future__ import annotations

# Actions that may start at once after an idle period, unless a caller sets
# another burst.
DEFAULT_BURST_ACTIONS = 5.0


class TokenBucket:
    """Limits the rate of an action. Not thread-safe.

    Args:
        rate_per_s: Long-term limit in actions per second.
        burst: Number of actions that may start at once; the bucket starts
            full.
    """

    def __init__(
        self, *, rate_per_s: float, burst: float = DEFAULT_BURST_ACTIONS
    ) -> None:
        self._rate_per_s = rate_per_s
        self._burst = burst
        self._level = burst
        self._refilled_s: float | None = None
        self._paused_until_s = 0.0

    def set_rate(self, rate_per_s: float) -> None:
        """Change the long-term limit, in actions per second."""
        self._rate_per_s = rate_per_s

    def set_limits(
        self, *, rate_per_s: float, burst: float, now_s: float
    ) -> None:
        """Change both limits.

        Args:
            rate_per_s: Long-term limit in actions per second.
            burst: Number of actions that may start at once.
            now_s: Monotonic time in seconds.
        """
        self._refill(now_s)
        self._rate_per_s = rate_per_s
        self._burst = burst
        self._level = min(burst, self._level)

    def wait_s(self, now_s: float) -> float:
        """Return the seconds until an action may start; 0 for now.

        Args:
            now_s: Monotonic time in seconds.

        Returns:
            Infinity if the limits allow no action at all.
        """
        self._refill(now_s)
        if now_s < self._paused_until_s:
            return self._paused_until_s - now_s
        if self._level >= 1.0:
            return 0.0
        if self._burst < 1.0 or not self._rate_per_s:
            return float("inf")
        return (1.0 - self._level) / self._rate_per_s

    def take(self, now_s: float) -> float:
        """Count one action if the limit allows it to start now.

        Args:
            now_s: Monotonic time in seconds.

        Returns:
            0 if the action may start; otherwise the seconds to wait before
            the next attempt, and the action is not counted.
        """
        wait_s = self.wait_s(now_s)
        if not wait_s:
            self._level -= 1.0
        return wait_s

    def _refill(self, now_s: float) -> None:
        if self._refilled_s is not None:
            refill = max(0.0, now_s - self._refilled_s) * self._rate_per_s
            self._level = min(self._burst, self._level + refill)
        self._refilled_s = now_s

    def try_take(self, now_s: float) -> bool:
        """Count one action if it may start now; return whether it may."""
        return self.take(now_s) == 0.0

    def pause(self, *, retry_after_s: float, now_s: float) -> None:
        """Allow no action for the time that the limited service asked for.

        A pause that ends later stays in force.

        Args:
            retry_after_s: Seconds that the service asked to wait.
            now_s: Monotonic time in seconds.
        """
        self._paused_until_s = max(self._paused_until_s, now_s + retry_after_s)
