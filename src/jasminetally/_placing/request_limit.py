"""Limit on requests that a backend server has named."""

from __future__ import annotations

from jasminetally._placing import limit_divider
from jasminetally._placing import numbered_value
from jasminetally._shared import token_bucket

# Lowest limit that is applied: a server that gets no request at all can't say
# that it takes requests again.
MIN_LIMIT_PER_S = 0.05


class RequestLimit:
    """Limit that one incarnation of a server names, and this router's share."""

    def __init__(self) -> None:
        self._notice = numbered_value.NumberedValue()
        self._bucket = token_bucket.TokenBucket(rate_per_s=0.0, burst=0.0)

    @property
    def limit_per_s(self) -> float | None:
        """Requests a second that the server takes from all routers together.

        None if it names no limit.
        """
        return self._notice.value

    @property
    def number(self) -> int:
        """Number of the last change, from 1; 0 if there was none."""
        return self._notice.number

    @property
    def spread_s(self) -> float:
        """Monotonic time at which another router last needed the limit.

        In seconds; minus infinity if none did.
        """
        return self._notice.spread_s

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
        elif sent_s < self._notice.changed_s:
            return False
        return self._notice.change(limit_per_s, now_s)

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
        return self._notice.merge(number, limit_per_s, now_s)

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
