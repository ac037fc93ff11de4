"""Whether callers fill the way into this instance."""

from __future__ import annotations

import collections

# Time over which received bytes are counted, and its resolution.
WINDOW_S = 1.0
BUCKET_S = 0.1
# Share of the link's rate above which the way in counts as full. Bodies are
# counted as they are read; heads of packets, the answers of servers and
# messages between routers take the rest.
FULL_RATIO = 0.6
# Factor of the time that this router waits for others while the way in is full.
# An answer queues there behind up to a second of callers' requests.
FULL_PATIENCE = 4.0


class ReceiveMeter:
    """Counts what callers send and tells how patient to be with answers.

    On a small instance whose callers fill its link, answers of servers and of
    other routers come late, which looks like a partition. Giving up there makes
    it worse: a caller that is sent away comes back, and its request takes the
    same bytes again. It answers callers that stay with a small instance,
    whatever the directories say. Performs no I/O.

    Args:
        rate_bytes_per_s: Rate of the link; None if not known. Then the way in
            never counts as full.
    """

    def __init__(self, rate_bytes_per_s: float | None) -> None:
        self._rate_bytes_per_s = rate_bytes_per_s
        # Number of the interval and bytes received in it, oldest first.
        self._buckets: collections.deque[tuple[int, int]] = collections.deque()

    def count_received(self, size: int, now_s: float) -> None:
        """Count bytes that a caller has sent.

        Args:
            size: Number of bytes.
            now_s: Monotonic time in seconds.
        """
        if self._rate_bytes_per_s is None:
            return
        bucket = int(now_s / BUCKET_S)
        if self._buckets and self._buckets[-1][0] == bucket:
            size += self._buckets.pop()[1]
        self._buckets.append((bucket, size))
        self._forget(now_s)

    def is_full(self, now_s: float) -> bool:
        """Return whether callers fill the way in.

        Args:
            now_s: Monotonic time in seconds.
        """
        if self._rate_bytes_per_s is None:
            return False
        self._forget(now_s)
        received = sum(size for _, size in self._buckets)
        return received > FULL_RATIO * WINDOW_S * self._rate_bytes_per_s

    def patience(self, now_s: float) -> float:
        """Return the factor by which to wait longer for answers than usual.

        Args:
            now_s: Monotonic time in seconds.
        """
        return FULL_PATIENCE if self.is_full(now_s) else 1.0

    def _forget(self, now_s: float) -> None:
        oldest = int((now_s - WINDOW_S) / BUCKET_S)
        while self._buckets and self._buckets[0][0] <= oldest:
            self._buckets.popleft()
