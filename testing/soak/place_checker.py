"""Checks of evacuated data centres and of cold backend servers."""

from __future__ import annotations

import collections
from collections.abc import Callable

from testing.soak import fault_periods as fault_periods_lib
from testing.soak import rule as rule_lib
from testing.soak import sent_request

# Bounds of the users' platform, as in the settings of the routers: how long
# after its evacuation a data centre may get requests, and how many requests a
# cold server may get in a second.
EVACUATION_LIMIT_S = 5.0
TOLERANCE_S = 0.3
COLD_REQUESTS_PER_S = 4
COLD_OVERAGE_RATIO = 1.5
COLD_SLACK_REQUESTS = 5
COLD_START_S = 3.0


class PlaceChecker:
    """Checks evacuated data centres and cold servers.

    Args:
        fault_periods: Times at which unplanned faults are active.
        add_violation: Receives the description of each violation.

    Attributes:
        enabled: Whether arrivals are checked.
    """

    def __init__(
        self,
        fault_periods: fault_periods_lib.FaultPeriods,
        add_violation: Callable[[str], None],
    ) -> None:
        self.enabled = True
        self._fault_periods = fault_periods
        self._add_violation = add_violation
        self._evacuated_s: dict[str, float] = {}
        self._cold_until_s: dict[str, float] = {}
        # Times at which the requests of the last second were sent.
        self._sent_s: dict[str, collections.deque[float]] = {}

    def on_evacuated(self, data_centre: str, now_s: float) -> None:
        """Record that the store has acknowledged an evacuation."""
        self._evacuated_s.setdefault(data_centre, now_s)

    def on_taken_back(self, data_centre: str) -> None:
        """Record that an evacuation is about to end."""
        self._evacuated_s.pop(data_centre, None)

    def on_cold(self, server: str, now_s: float) -> None:
        """Record that a server has become cold."""
        self._cold_until_s[server] = now_s + COLD_START_S

    def on_arrival(
        self,
        server: str,
        data_centre: str,
        sent: sent_request.SentRequest,
        now_s: float,
    ) -> None:
        """Check a request that reaches a server."""
        if not self.enabled:
            return
        self._check_evacuations(server, data_centre, sent, now_s)
        if now_s < self._cold_until_s.get(server, 0.0):
            self._check_cold(server, sent, now_s)

    def _check_evacuations(
        self,
        server: str,
        data_centre: str,
        sent: sent_request.SentRequest,
        now_s: float,
    ) -> None:
        """Check an arrival, which may be in no evacuated data centre.

        The rule holds for routers that have been in touch for some seconds;
        what came before that is no excuse. Arrivals elsewhere show that the
        router had requests to send.
        """
        for evacuated, since_s in self._evacuated_s.items():
            late = now_s - since_s > EVACUATION_LIMIT_S + TOLERANCE_S
            if (
                late
                and self._fault_periods.applies(
                    rule_lib.Rule.EVACUATED, now_s, now_s, sent.router
                )
                and evacuated == data_centre
            ):
                self._add_violation(
                    f"{server} got {sent.request_id} of {sent.router}"
                    f" {now_s - since_s:.1f} s after the evacuation of"
                    f" {data_centre}"
                )

    def _check_cold(
        self, server: str, sent: sent_request.SentRequest, now_s: float
    ) -> None:
        if not self._fault_periods.applies(
            rule_lib.Rule.COLD, now_s - 1.0, now_s, sent.router
        ):
            return
        sent_s = self._sent_s.setdefault(server, collections.deque())
        sent_s.append(sent.sent_s)
        while sent_s and sent_s[0] < now_s - 1.0:
            sent_s.popleft()
        limit = COLD_REQUESTS_PER_S * COLD_OVERAGE_RATIO + COLD_SLACK_REQUESTS
        if len(sent_s) > limit:
            self._add_violation(
                f"{server}, which is cold, got {len(sent_s)} requests in a"
                " second"
            )
