"""Checks of what backend servers have asked of the routers."""

from __future__ import annotations

import collections
from collections.abc import Callable
import math

from testing.soak import fault_periods as fault_periods_lib
from testing.soak import rule as rule_lib
from testing.soak import sent_request

# Bounds of the users' platform: when a pause begins to count and how many
# requests may arrive in it; how long after a router has passed on that a server
# leaves requests may still be sent; when a content has crashed enough servers,
# from when on arrivals count, and how many may follow.
PAUSE_SLACK_S = 0.5
MAX_ARRIVALS_IN_PAUSE = 2
LEAVING_LIMIT_S = 2.0
CRASH_LIMIT = 3
PART_CRASH_LIMIT = 5
CONTACT_S = 3.0
MAX_ARRIVALS_AFTER_CRASHES = 3


class NoticeChecker:
    """Checks pauses, leaving servers and requests that crash servers.

    Args:
        fault_periods: Times at which unplanned faults are active.
        add_violation: Receives the description of each violation.
    """

    def __init__(
        self,
        fault_periods: fault_periods_lib.FaultPeriods,
        add_violation: Callable[[str], None],
    ) -> None:
        self._fault_periods = fault_periods
        self._add_violation = add_violation
        # Start and end of a server's last pause, by server and router.
        self._pauses: dict[tuple[str, str], tuple[float, float]] = {}
        self._arrivals_in_pause: collections.Counter = collections.Counter()
        self._leaving_s: dict[tuple[str, str], float] = {}
        # Times of crashes, by what the crashing requests have in common.
        self._crashes_s: dict[bytes, list[float]] = {}
        self._late_arrivals: collections.Counter[bytes] = collections.Counter()

    def on_paused(
        self,
        server: str,
        sent: sent_request.SentRequest,
        pause_s: float,
        now_s: float,
    ) -> None:
        """Record that a server asks the router of a request for a pause."""
        key = server, sent.router
        end_s = self._pauses.get(key, (0.0, -math.inf))[1]
        if now_s > end_s:
            self._pauses[key] = now_s, now_s + pause_s
            self._arrivals_in_pause[key] = 0

    def on_leaving(
        self, server: str, sent: sent_request.SentRequest, now_s: float
    ) -> None:
        """Record that a server tells the router of a request that it leaves."""
        self._leaving_s.setdefault((server, sent.router), now_s)

    def on_crash(self, body: bytes, now_s: float) -> None:
        """Record that a request with this body has crashed its server."""
        self._crashes_s.setdefault(_crash_cause(body), []).append(now_s)

    def on_arrival(
        self, server: str, sent: sent_request.SentRequest, now_s: float
    ) -> None:
        """Check a request that reaches a server."""
        key = server, sent.router
        start_s, end_s = self._pauses.get(key, (0.0, -math.inf))
        self._count_other_pauses(server, sent, now_s)
        if start_s + PAUSE_SLACK_S < now_s < end_s and self._applies(
            rule_lib.Rule.PAUSE, start_s, now_s, sent
        ):
            self._arrivals_in_pause[key] += 1
            if self._arrivals_in_pause[key] == MAX_ARRIVALS_IN_PAUSE + 1:
                self._add_violation(
                    f"{server} got a third request of {sent.router} in a pause"
                    f" that it had asked for {now_s - start_s:.1f} s before"
                )
        leaving_s = self._leaving_s.get(key, math.inf)
        # The router may not have received the response in a fault.
        if sent.sent_s > leaving_s + LEAVING_LIMIT_S and self._applies(
            rule_lib.Rule.LEAVING, leaving_s, leaving_s, sent
        ):
            self._add_violation(
                f"{server} got {sent.request_id} of {sent.router}, which it had"
                " told that it leaves"
            )
        self._check_crashes(sent, now_s)

    def _count_other_pauses(
        self, server: str, sent: sent_request.SentRequest, now_s: float
    ) -> None:
        """Count the arrivals that could have come to a paused or leaving one.

        A rule that is kept has no arrivals, but those at other servers show
        that the router had requests to send.
        """
        for (other, router), (start_s, end_s) in self._pauses.items():
            if (
                other != server
                and router == sent.router
                and start_s + PAUSE_SLACK_S < now_s < end_s
            ):
                self._applies(rule_lib.Rule.PAUSE, start_s, now_s, sent)
        for (other, router), leaving_s in self._leaving_s.items():
            if (
                other != server
                and router == sent.router
                and leaving_s + LEAVING_LIMIT_S < sent.sent_s
            ):
                self._applies(rule_lib.Rule.LEAVING, leaving_s, leaving_s, sent)

    def _applies(
        self,
        rule: rule_lib.Rule,
        start_s: float,
        end_s: float,
        sent: sent_request.SentRequest,
    ) -> bool:
        """Return whether a rule holds at the router of a request."""
        return self._fault_periods.applies(rule, start_s, end_s, sent.router)

    def on_sent(self, sent: sent_request.SentRequest, now_s: float) -> None:
        """Count a request of the kind that crashes servers, when it is sent."""
        crashes_s = self._crashes_s.get(_crash_cause(sent.body), [])
        if crashes_s and now_s > crashes_s[0] + CONTACT_S:
            self._fault_periods.applies(
                rule_lib.Rule.CRASHES, now_s - CONTACT_S, now_s
            )

    def _check_crashes(
        self, sent: sent_request.SentRequest, now_s: float
    ) -> None:
        cause = _crash_cause(sent.body)
        crashes_s = self._crashes_s.get(cause, [])
        limit = PART_CRASH_LIMIT if cause != sent.body else CRASH_LIMIT
        if (
            len(crashes_s) < limit
            or now_s < crashes_s[limit - 1] + CONTACT_S
            or not self._fault_periods.applies(
                rule_lib.Rule.CRASHES, now_s - CONTACT_S, now_s
            )
        ):
            return
        self._late_arrivals[cause] += 1
        if self._late_arrivals[cause] == MAX_ARRIVALS_AFTER_CRASHES + 1:
            self._add_violation(
                f"{cause!r} crashed {len(crashes_s)} servers and reached a"
                f" server {self._late_arrivals[cause]} times later"
            )


def _crash_cause(body: bytes) -> bytes:
    """Return what crashing requests have in common, by one of their bodies.

    It is the body, or its start where a part of the prompts crashes servers.
    """
    return body.partition(b" #")[0]
