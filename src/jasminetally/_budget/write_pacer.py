"""Times at which a router may use the platform."""

from __future__ import annotations

import random

from jasminetally._budget import grant_policy
from jasminetally._shared import token_bucket


class WritePacer:
    """Backoff, outage and rate of platform calls of one manager.

    Attributes:
        not_before_s: No call before this time, monotonic seconds.
        down: The last call found the platform unreachable.
    """

    def __init__(
        self,
        *,
        policy: grant_policy.GrantPolicy,
        write_limiter: token_bucket.TokenBucket,
        rng: random.Random,
    ) -> None:
        self._policy = policy
        self._write_limiter = write_limiter
        self._rng = rng
        self._failures = 0
        self._reading_since_s: float | None = None
        self.not_before_s = 0.0
        self.platform_down = False

    def on_success(self) -> None:
        """Reset the backoff."""
        self._failures = 0
        self.platform_down = False

    def on_reachable(self) -> None:
        """Note that the platform answered, without resetting the backoff."""
        self.platform_down = False

    def on_conflict(self, now_s: float) -> None:
        """Delay the next write a little, so that routers do not collide."""
        self.platform_down = False
        self._back_off(now_s, 0.0)

    def on_failure(self, now_s: float, retry_after_s: float) -> None:
        """Delay the next call after one that the platform did not take."""
        self.platform_down = True
        self._back_off(now_s, retry_after_s)

    def start_read(self, now_s: float) -> None:
        """Note a read without a result."""
        self._reading_since_s = now_s

    def end_read(self) -> None:
        """Note the result of a read."""
        self._reading_since_s = None

    def is_reading(self, now_s: float) -> bool:
        """Return whether to wait for a read; a lost one times out."""
        since_s = self._reading_since_s
        return since_s is not None and (
            now_s - since_s < self._policy.io_timeout_s
        )

    def take_write(self, now_s: float) -> bool:
        """Return whether the write rate allows a write, and count it."""
        return self._write_limiter.try_take(now_s)

    def _back_off(self, now_s: float, min_delay_s: float) -> None:
        limit_s = min(
            self._policy.max_backoff_s,
            self._policy.initial_backoff_s * 2**self._failures,
        )
        self._failures = min(self._failures + 1, 16)
        self.not_before_s = max(
            self.not_before_s, now_s + max(min_delay_s, 0.0)
        ) + self._rng.uniform(0.0, limit_s)
