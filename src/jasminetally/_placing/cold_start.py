"""Pacing of requests to a backend server that has just started."""

from __future__ import annotations

from jasminetally._placing import limit_divider
from jasminetally._shared import token_bucket


class ColdStart:
    """Paces this router's requests to one incarnation of a cold server.

    It answers the load that all routers send at once to servers that come back
    after a crash, a release or an evacuation: they are idle, so each router
    ranks them first.

    Attributes:
        cold_until_s: Monotonic time in seconds until which the server is cold;
            minus infinity if it was never known to be.
    """

    def __init__(self) -> None:
        self.cold_until_s = float("-inf")
        self._bucket = token_bucket.TokenBucket(rate_per_s=0.0, burst=0.0)
        self._limited = False

    def is_cold(self, now_s: float) -> bool:
        """Return whether the server is cold."""
        return now_s < self.cold_until_s

    def extend(self, until_s: float) -> None:
        """Take the server as cold until a time, or until a later known one."""
        self.cold_until_s = max(self.cold_until_s, until_s)

    def set_share(
        self, share: limit_divider.LimitShare | None, now_s: float
    ) -> None:
        """Set this router's share of the server's rate.

        Args:
            share: The share; None if the server has no limit while it is cold.
            now_s: Monotonic time in seconds.
        """
        self._limited = share is not None
        if share is not None:
            self._bucket.set_limits(
                rate_per_s=share.rate_per_s, burst=share.burst, now_s=now_s
            )

    def wait_s(self, now_s: float) -> float:
        """Return the seconds until this router may send a request; 0 for now.

        A router without a share waits until the server is warm.
        """
        if not self._limited or not self.is_cold(now_s):
            return 0.0
        return min(self._bucket.wait_s(now_s), self.cold_until_s - now_s)

    def count_request(self, now_s: float) -> None:
        """Count a request that is sent now."""
        if self._limited and self.is_cold(now_s):
            self._bucket.try_take(now_s)
