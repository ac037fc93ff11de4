"""One run of the prepaid bench in virtual time."""

from __future__ import annotations

import collections
import heapq
import itertools
from typing import Protocol

from jasminetally._bench import prepaid_figures
from jasminetally._bench import prepaid_request
from jasminetally._bench import prepaid_scenario

UPKEEP_S = 0.1
# Share of the prepaid tokens up to which a refusal counts as owed.
OWED_SHARE = 0.97


class PrepaidPolicy(Protocol):
    """Way to hold prepaid tokens."""

    writes: int

    def reserve(
        self, router: int, account: str, tokens: int, now_s: float
    ) -> bool:
        """Reserve tokens for a request; return whether it may run."""

    def release(self, router: int, account: str, tokens: int) -> None:
        """Take back what a request did not use."""

    def upkeep(self, now_s: float) -> None:
        """Do what is due; called ten times a second."""

    def on_loss(self, now_s: float) -> None:
        """All routers die and start again after a while."""

    def on_death(self, router: int) -> None:
        """One router dies and starts again."""


class PrepaidSimulation:
    """Play the requests of a scenario against one policy.

    Callers of routers that are down come back to others, so only the loss of
    all routers turns requests away; those count for nobody.
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
        self._most: collections.Counter[str] = collections.Counter()
        self._used: collections.Counter[str] = collections.Counter()
        self._up_s = 0.0

    def run(
        self, requests: list[prepaid_request.PrepaidRequest]
    ) -> prepaid_figures.PrepaidFigures:
        """Play all requests and faults."""
        order = itertools.count()
        events: list[tuple] = []
        for request in requests:
            events.append((request.at_s, next(order), self._arrive, request))
        for loss_s in self._scenario.losses:
            events.append((loss_s, next(order), self._lose_all, None))
        for number, death_s in enumerate(self._scenario.deaths):
            victim = 1 + number % (self._scenario.routers - 1)
            events.append((death_s, next(order), self._die, victim))
        for tick in range(int(self._scenario.duration_s / UPKEEP_S)):
            events.append((tick * UPKEEP_S, next(order), self._tick, None))
        heapq.heapify(events)
        while events:
            now_s, _, call, subject = heapq.heappop(events)
            ends_s = call(now_s, subject)
            if ends_s is not None:
                entry = (ends_s, next(order), self._end, subject)
                heapq.heappush(events, entry)
        self.figures.writes = self._policy.writes
        self.figures.overspent = sum(
            max(0, used - self._prepaid[name])
            for name, used in self._used.items()
        )
        return self.figures

    def _tick(self, now_s: float, subject: None) -> None:
        del subject
        self._policy.upkeep(now_s)

    def _arrive(
        self, now_s: float, request: prepaid_request.PrepaidRequest
    ) -> float | None:
        if now_s < self._up_s:
            return None
        self.figures.requests += 1
        name = str(request.account)
        if not self._policy.reserve(request.router, name, request.bound, now_s):
            most = self._used[name] + self._most[name] + request.bound
            owed = most <= OWED_SHARE * self._prepaid[name]
            self.figures.owed_refusals += owed
            return None
        self._most[name] += request.bound
        self._running[id(request)] = request
        return now_s + request.took_s

    def _end(
        self, now_s: float, request: prepaid_request.PrepaidRequest
    ) -> None:
        if self._running.pop(id(request), None) is None:
            return
        used = self._close(request, now_s)
        self.figures.served += 1
        self._policy.release(
            request.router, str(request.account), request.bound - used
        )

    def _lose_all(self, now_s: float, subject: None) -> None:
        del subject
        for request in self._running.values():
            self._close(request, now_s)
        self._running.clear()
        self._up_s = now_s + self._scenario.down_s
        self._policy.on_loss(now_s)

    def _die(self, now_s: float, router: int) -> None:
        for key, request in list(self._running.items()):
            if request.router == router:
                del self._running[key]
                self._close(request, now_s)
        self._policy.on_death(router)

    def _close(
        self, request: prepaid_request.PrepaidRequest, now_s: float
    ) -> int:
        """Count what a request has used; return it."""
        name = str(request.account)
        used = request.used_after(now_s - request.at_s)
        self._most[name] -= request.bound
        self._used[name] += used
        return used
