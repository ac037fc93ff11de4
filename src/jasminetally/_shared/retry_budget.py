"""Limit on retries as a share of requests."""

from __future__ import annotations

import collections

BUCKETS = 12


class RetryBudget:
    """Counts requests and retries in a sliding window.

    Unlimited retries multiply the load exactly when servers fail, so retries
    in the window stay below a share of its requests.
    """

    def __init__(self, *, ratio: float, floor: int, window_s: float) -> None:
        self._ratio = ratio
        self._floor = floor
        self._bucket_s = window_s / BUCKETS
        self._buckets: collections.deque[list[float]] = collections.deque()
        self._requests = 0
        self._retries = 0

    def on_request(self, now_s: float) -> None:
        """Count a new request."""
        self._bucket(now_s)[1] += 1
        self._requests += 1

    def try_retry(self, now_s: float) -> bool:
        """Count a retry if the budget has room; return whether it has."""
        bucket = self._bucket(now_s)
        if self._retries + 1 > max(self._floor, self._ratio * self._requests):
            return False
        bucket[2] += 1
        self._retries += 1
        return True

    def _bucket(self, now_s: float) -> list[float]:
        number = now_s // self._bucket_s
        while self._buckets and self._buckets[0][0] <= number - BUCKETS:
            _, requests, retries = self._buckets.popleft()
            self._requests -= int(requests)
            self._retries -= int(retries)
        if not self._buckets or self._buckets[-1][0] != number:
            self._buckets.append([number, 0, 0])
        return self._buckets[-1]
