"""Times at which a budget manager may call the platform."""

from __future__ import annotations

import random

from jasminetally._budget import grant_policy
from jasminetally._shared import token_bucket


class WritePacer:
    """Backoff, outage state and write rate of one manager's platform calls.

    Attributes:
        not_before_s: No call before this time, monotonic seconds.
        platform_down: Whether the last call found the platform unavailable.
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
        """Reset the backoff after a write that took effect."""
        self._failures = 0
        self.platform_down = False

    def on_reachable(self) -> None:
        """Record that the platform responded; the backoff remains."""
        self.platform_down = False

    def on_conflict(self, now_s: float) -> None:
        """Delay the next call after a conflict or an unknown outcome.

        The random delay avoids repeated conflicts between routers.
        """
        self.platform_down = False
        self._back_off(now_s, 0.0)

    def on_failure(self, now_s: float, retry_after_s: float) -> None:
        """Delay the next call after one that the platform did not accept."""
        self.platform_down = True
        self._back_off(now_s, retry_after_s)

    def start_read(self, now_s: float) -> None:
        """Record the start of a read."""
        self._reading_since_s = now_s

    def end_read(self) -> None:
        """Record the end of a read."""
        self._reading_since_s = None

    def is_reading(self, now_s: float) -> bool:
        """Return whether a read is in progress; reads time out."""
        since_s = self._reading_since_s
        return since_s is not None and (
            now_s - since_s < self._policy.io_timeout_s
        )

    def take_write(self, now_s: float) -> bool:
        """Count a write if the rate limit allows it; return whether it does."""
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
