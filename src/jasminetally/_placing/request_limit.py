"""Limit on requests that a backend server has named."""

from __future__ import annotations

from jasminetally._placing import limit_divider
from jasminetally._shared import token_bucket

# Lowest limit that is applied: a server that gets no request at all can't say
# that it takes requests again.
MIN_LIMIT_PER_S = 0.05


class RequestLimit:
    """Limit that one incarnation of a server names, and this router's share.

    Each change has a number, by which routers agree on the latest one without
    comparing their clocks.

    Attributes:
        limit_per_s: Requests a second that the server takes from all routers
            together; None if it names no limit.
        number: Number of the last change, from 1; 0 if there was none.
        spread_s: Monotonic time in seconds at which another router was last
            found to need the limit; minus infinity if none was.
    """

    def __init__(self) -> None:
        self.limit_per_s: float | None = None
        self.number = 0
        self.spread_s = float("-inf")
        self._changed_s = float("-inf")
        self._bucket = token_bucket.TokenBucket(rate_per_s=0.0, burst=0.0)

    def on_response(
        self, limit_per_s: float | None, *, sent_s: float, now_s: float
    ) -> bool:
        """Apply the limit that a response names.

        A response without a limit may have been written at any time since its
        request was sent, so it counts only if that was after the last change.

        Args:
            limit_per_s: Requests a second; None if the response names none.
            sent_s: Monotonic time in seconds at which the request was sent.
            now_s: Monotonic time in seconds.

        Returns:
            Whether the limit has changed.
        """
        if limit_per_s is not None:
            limit_per_s = max(limit_per_s, MIN_LIMIT_PER_S)
        elif sent_s < self._changed_s:
            return False
        if limit_per_s == self.limit_per_s:
            return False
        self._change(self.number + 1, limit_per_s, now_s)
        return True

    def merge(
        self, number: int, limit_per_s: float | None, now_s: float
    ) -> bool:
        """Apply what another router knows.

        Args:
            number: Number of the last change that it knows.
            limit_per_s: Requests a second; None for no limit.
            now_s: Monotonic time in seconds.

        Returns:
            Whether the limit has changed.
        """
        own = _order(self.number, self.limit_per_s)
        received = _order(number, limit_per_s)
        if received > own:
            self._change(number, limit_per_s, now_s)
            return True
        if received < own:
            self.spread_s = now_s
        return False

    def _change(
        self, number: int, limit_per_s: float | None, now_s: float
    ) -> None:
        self.number = number
        self.limit_per_s = limit_per_s
        self.spread_s = self._changed_s = now_s

    def set_share(self, share: limit_divider.LimitShare, now_s: float) -> None:
        """Set this router's share of the limit.

        Args:
            share: The share.
            now_s: Monotonic time in seconds.
        """
        self._bucket.set_limits(
            rate_per_s=share.rate_per_s, burst=share.burst, now_s=now_s
        )

    def wait_s(self, now_s: float) -> float:
        """Return the seconds until this router may send a request; 0 for now.

        For a router without a share, this is the time in which the server
        takes a request from any router.

        Args:
            now_s: Monotonic time in seconds.
        """
        if self.limit_per_s is None:
            return 0.0
        return min(self._bucket.wait_s(now_s), 1 / self.limit_per_s)

    def try_take(self, now_s: float) -> bool:
        """Count a request if it may be sent now; return whether it may.

        Args:
            now_s: Monotonic time in seconds.
        """
        return self.limit_per_s is None or self._bucket.try_take(now_s)


def _order(number: int, limit_per_s: float | None) -> tuple[int, float]:
    """Return the order of a change; the lower limit goes before of two."""
    strictness = float("-inf") if limit_per_s is None else -limit_per_s
    return number, strictness
