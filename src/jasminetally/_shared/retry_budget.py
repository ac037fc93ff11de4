"""Limit on retries as a fraction of requests."""

from __future__ import annotations

import collections

# Buckets per sliding window; old counts leave the window a bucket at a time.
WINDOW_BUCKETS = 12


class RetryBudget:
    """Limits retries to a fraction of the requests in a sliding window.

    Unlimited retries would multiply the load at the very time when servers
    fail.

    Args:
        ratio: Retries allowed per request in the window.
        min_retries: Retries allowed in the window even with few requests.
        window_s: Length of the window in seconds.

    Attributes:
        min_retries: Retries allowed in the window even with few requests.
    """

    def __init__(
        self, *, ratio: float, min_retries: int, window_s: float
    ) -> None:
        self._ratio = ratio
        self.min_retries = min_retries
        self._bucket_s = window_s / WINDOW_BUCKETS
        # Oldest first; each is [index, requests, retries].
        self._buckets: collections.deque[list[float]] = collections.deque()
        self._requests = 0
        self._retries = 0

    def on_request(self, now_s: float) -> None:
        """Count a new request at a monotonic time in seconds."""
        self._current_bucket(now_s)[1] += 1
        self._requests += 1

    def try_retry(self, now_s: float) -> bool:
        """Count a retry if the budget allows it.

        Args:
            now_s: Monotonic time in seconds.

        Returns:
            Whether the retry is allowed; if not, it is not counted.
        """
        bucket = self._current_bucket(now_s)
        if self._retries + 1 > max(
            self.min_retries, self._ratio * self._requests
        ):
            return False
        bucket[2] += 1
        self._retries += 1
        return True

    def _current_bucket(self, now_s: float) -> list[float]:
        """Remove expired buckets and return that of the current time."""
        index = now_s // self._bucket_s
        while self._buckets and self._buckets[0][0] <= index - WINDOW_BUCKETS:
            _, requests, retries = self._buckets.popleft()
            self._requests -= int(requests)
            self._retries -= int(retries)
        if not self._buckets or self._buckets[-1][0] != index:
            self._buckets.append([index, 0, 0])
        return self._buckets[-1]
