"""Tolerance of the users for requests that reach cold servers."""

from __future__ import annotations

from typing import NamedTuple


class ColdAllowance(NamedTuple):
    """Requests that may reach a cold server in one second, beyond its rate.

    Attributes:
        overage_ratio: Multiple of the server's rate that is tolerated.
        slack_requests: Requests that are tolerated on top of that.
    """

    overage_ratio: float
    slack_requests: float

    def burst(self, rate_per_s: float) -> float:
        """Return the requests that all routers together may send at once.

        This is half of what is tolerated beyond the rate in one second. The
        rest covers routers that disagree on the routers there are, and requests
        that were sent before their router knew that the server is cold.

        Args:
            rate_per_s: Requests a second that the server takes.
        """
        tolerated = (
            self.overage_ratio - 1.0
        ) * rate_per_s + self.slack_requests
        return max(1.0, tolerated / 2)
