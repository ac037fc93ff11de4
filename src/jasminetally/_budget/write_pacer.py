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
        allowance: token_bucket.TokenBucket,
        rng: random.Random,
    ) -> None:
        self._policy = policy
        self._allowance = allowance
        self._rng = rng
        self._failures = 0
        self._reading_since_s: float | None = None
        self.not_before_s = 0.0
        self.down = False

    def succeeded(self) -> None:
        """Reset the backoff."""
        self._failures = 0
        self.down = False

    def reachable(self) -> None:
        """Note that the platform answered, without resetting the backoff."""
        self.down = False

    def conflicted(self, now_s: float) -> None:
        """Delay the next write a little, so that routers do not collide."""
        self.down = False
        self._back_off(now_s, 0.0)

    def failed(self, now_s: float, retry_after_s: float) -> None:
        """Delay the next call after one that the platform did not take."""
        self.down = True
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
        return self._allowance.try_take(now_s)

    def _back_off(self, now_s: float, least_s: float) -> None:
        limit_s = min(
            self._policy.max_backoff_s,
            self._policy.backoff_s * 2**self._failures,
        )
        self._failures = min(self._failures + 1, 16)
        self.not_before_s = max(
            self.not_before_s, now_s + max(least_s, 0.0)
        ) + self._rng.uniform(0.0, limit_s)
