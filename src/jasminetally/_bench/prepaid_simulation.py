"""Simulation of the prepaid bench in virtual time."""

from __future__ import annotations

import collections
import heapq
import itertools
from typing import Protocol

from jasminetally._bench import prepaid_figures
from jasminetally._bench import prepaid_request
from jasminetally._bench import prepaid_scenario

BACKGROUND_INTERVAL_S = 0.1
# A refusal counts as owed if this share of the prepaid tokens covered the
# request.
OWED_REFUSAL_SHARE = 0.97


class PrepaidPolicy(Protocol):
    """Interface of the policies under comparison.

    Attributes:
        writes: Writes to the store.
    """

    writes: int

    def reserve(
        self, router: int, account: str, tokens: int, now_s: float
    ) -> bool:
        """Reserve tokens for a request; return whether it may run."""

    def release(self, router: int, account: str, tokens: int) -> None:
        """Return the tokens that a request did not use."""

    def run_background_tasks(self, now_s: float) -> None:
        """Run periodic work; called ten times a second."""

    def on_fleet_crash(self, now_s: float) -> None:
        """Handle that all routers die; they restart after a delay."""

    def on_router_death(self, router: int) -> None:
        """Handle that one router dies and restarts."""


class PrepaidSimulation:
    """Runs the requests of a scenario under one policy.

    Callers of a dead router use another one, so a request is turned away only
    while all routers are down. Such requests are not counted.
    """

    def __init__(
        self,
        scenario: prepaid_scenario.PrepaidScenario,
        prepaid: dict[str, int],
        policy: PrepaidPolicy,
    ) -> None:
        self.figures = prepaid_figures.PrepaidFigures()
        self._scenario = scenario
        self._prepaid = prepaid
        self._policy = policy
        self._running: dict[int, prepaid_request.PrepaidRequest] = {}
        self._reserved_tokens: collections.Counter[str] = collections.Counter()
        self._used_tokens: collections.Counter[str] = collections.Counter()
        self._restarted_s = 0.0

    def run(
        self, requests: list[prepaid_request.PrepaidRequest]
    ) -> prepaid_figures.PrepaidFigures:
        """Run all requests and faults and return the figures."""
        sequence_numbers = itertools.count()
        events: list[tuple] = []
        for request in requests:
            events.append(
                (
                    request.at_s,
                    next(sequence_numbers),
                    self._on_arrival,
                    request,
                )
            )
        for crash_s in self._scenario.fleet_crashes:
            events.append(
                (crash_s, next(sequence_numbers), self._crash_fleet, None)
            )
        for number, death_s in enumerate(self._scenario.router_deaths):
            router = 1 + number % (self._scenario.routers - 1)
            events.append(
                (death_s, next(sequence_numbers), self._kill_router, router)
            )
        for tick in range(
            int(self._scenario.duration_s / BACKGROUND_INTERVAL_S)
        ):
            events.append(
                (
                    tick * BACKGROUND_INTERVAL_S,
                    next(sequence_numbers),
                    self._run_background_tasks,
                    None,
                )
            )
        heapq.heapify(events)
        while events:
            now_s, _, callback, subject = heapq.heappop(events)
            ends_s = callback(now_s, subject)
            if ends_s is not None:
                entry = (
                    ends_s,
                    next(sequence_numbers),
                    self._complete_request,
                    subject,
                )
                heapq.heappush(events, entry)
        self.figures.writes = self._policy.writes
        self.figures.overspent = sum(
            max(0, used - self._prepaid[name])
            for name, used in self._used_tokens.items()
        )
        return self.figures

    def _run_background_tasks(self, now_s: float, subject: None) -> None:
        del subject
        self._policy.run_background_tasks(now_s)

    def _on_arrival(
        self, now_s: float, request: prepaid_request.PrepaidRequest
    ) -> float | None:
        if now_s < self._restarted_s:
            return None
        self.figures.requests += 1
        name = str(request.account)
        if not self._policy.reserve(request.router, name, request.bound, now_s):
            max_used = (
                self._used_tokens[name]
                + self._reserved_tokens[name]
                + request.bound
            )
            owed = max_used <= OWED_REFUSAL_SHARE * self._prepaid[name]
            self.figures.owed_refusals += owed
            return None
        self._reserved_tokens[name] += request.bound
        self._running[id(request)] = request
        return now_s + request.duration_s

    def _complete_request(
        self, now_s: float, request: prepaid_request.PrepaidRequest
    ) -> None:
        if self._running.pop(id(request), None) is None:
            return
        used = self._count_used(request, now_s)
        self.figures.served += 1
        self._policy.release(
            request.router, str(request.account), request.bound - used
        )

    def _crash_fleet(self, now_s: float, subject: None) -> None:
        del subject
        for request in self._running.values():
            self._count_used(request, now_s)
        self._running.clear()
        self._restarted_s = now_s + self._scenario.restart_delay_s
        self._policy.on_fleet_crash(now_s)

    def _kill_router(self, now_s: float, router: int) -> None:
        for key, request in list(self._running.items()):
            if request.router == router:
                del self._running[key]
                self._count_used(request, now_s)
        self._policy.on_router_death(router)

    def _count_used(
        self, request: prepaid_request.PrepaidRequest, now_s: float
    ) -> int:
        """Count the tokens that a request has used and return them."""
        name = str(request.account)
        used = request.used_tokens_after(now_s - request.at_s)
        self._reserved_tokens[name] -= request.bound
        self._used_tokens[name] += used
        return used
