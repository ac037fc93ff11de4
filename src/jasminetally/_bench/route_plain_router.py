"""Baseline routers of the route bench."""

from __future__ import annotations

import dataclasses
import random
from typing import TYPE_CHECKING

from jasminetally._routing import effects
from jasminetally._routing import events
from jasminetally._routing import failure_kind
from jasminetally._routing import outcome

if TYPE_CHECKING:
    from jasminetally._routing import request_spec

RETRY_LIMIT = 2
IDLE_TIMEOUT_S = 2.0
# At least; requests with a later deadline may wait in the engine until then.
FIRST_CHUNK_TIMEOUT_S = 30.0
# Requests in flight on one router, relative to its share of all slots. Of 0.75
# to 8, about 5 gave the baselines the most whole answers in time at twice
# capacity (seed 1, both deployments).
QUEUE_FACTOR = 5.0
PRIORITIES = {"live": 0, "standard": 1, "overnight": 3}

Kind = failure_kind.FailureKind


@dataclasses.dataclass(slots=True)
class PlainRequest:
    """Request in flight on a baseline router."""

    spec: request_spec.RequestSpec
    attempt: str = ""
    server: str = ""
    tries: int = 0
    index: int = 0
    progress_s: float = 0.0


class PlainRouter:
    """Random choice or least load, a queue limit, and immediate retries.

    It takes the same events as the dispatcher and knows the same lagged list
    and reports. Least load adds the requests started since the report.
    """

    def __init__(
        self, *, by_load: bool, share: float, rng: random.Random
    ) -> None:
        self._by_load = by_load
        self._share = share
        self._rng = rng
        self._servers: dict[str, int] = {}
        self._reports: dict[str, tuple[float, int]] = {}
        self._starts: dict[str, list[float]] = {}
        self._requests: dict[str, PlainRequest] = {}
        self._attempts: dict[str, PlainRequest] = {}

    @property
    def in_progress(self) -> int:
        """Number of requests that have not ended."""
        return len(self._requests)

    def handle(self, event: events.Event, now_s: float) -> list[effects.Effect]:
        """Take an event and return the effects to execute."""
        match event:
            case events.RequestSubmitted(spec):
                return self._submit(spec, now_s)
            case events.ChunkReceived():
                return self._chunk(event, now_s)
            case events.AttemptFailed(attempt, kind):
                return self._failed(attempt, kind, now_s)
            case events.CallerDisconnected(request):
                return self._caller_gone(request)
            case events.LoadReport(server, running, waiting, _, at_s):
                self._reports[server] = (at_s, running + waiting)
                started = self._starts.get(server, [])
                self._starts[server] = [t for t in started if t > at_s]
            case events.ServerListed(info):
                self._servers[info.server] = info.slots
            case events.ServerDraining(server) | events.ServerUnlisted(server):
                self._servers.pop(server, None)
            case events.Tick():
                return self._tick(now_s)
        return []

    def _submit(
        self, spec: request_spec.RequestSpec, now_s: float
    ) -> list[effects.Effect]:
        limit = QUEUE_FACTOR * self._share * sum(self._servers.values())
        if len(self._requests) >= limit:
            return [self._refusal(spec.request, outcome.Outcome.NOT_RUN)]
        found = PlainRequest(spec)
        self._requests[spec.request] = found
        return self._start(found, now_s)

    def _start(self, found: PlainRequest, now_s: float) -> list[effects.Effect]:
        names = sorted(self._servers)
        server = self._rng.choice(names)
        if self._by_load:
            self._rng.shuffle(names)
            server = min(names, key=self._load)
        self._starts.setdefault(server, []).append(now_s)
        found.tries += 1
        found.index = 0
        found.progress_s = now_s
        found.server = server
        found.attempt = f"{self._rng.getrandbits(64):016x}"
        self._attempts[found.attempt] = found
        return [
            effects.StartAttempt(
                found.spec.request,
                found.attempt,
                server,
                found.attempt,
                False,
                PRIORITIES[found.spec.tier],
            )
        ]

    def _load(self, server: str) -> int:
        _, reported = self._reports.get(server, (0.0, 0))
        return reported + len(self._starts.get(server, ()))

    def _chunk(
        self, chunk: events.ChunkReceived, now_s: float
    ) -> list[effects.Effect]:
        found = self._attempts.get(chunk.attempt)
        if found is None:
            return [effects.CloseConnection(chunk.attempt)]
        found.index += 1
        found.progress_s = now_s
        delivered = effects.DeliverChunk(found.spec.request, chunk.index)
        if not chunk.last:
            return [delivered]
        self._forget(found)
        return [delivered, effects.CompleteRequest(found.spec.request)]

    def _failed(
        self, attempt: str, kind: Kind, now_s: float
    ) -> list[effects.Effect]:
        found = self._attempts.get(attempt)
        if found is None:
            return []
        cancel = effects.CancelAttempt(attempt, found.server, attempt)
        clean = kind in (Kind.REFUSED, Kind.CONNECT)
        if found.tries <= RETRY_LIMIT and (clean or found.spec.repeatable):
            del self._attempts[attempt]
            return [cancel, *self._start(found, now_s)]
        self._forget(found)
        result = outcome.Outcome.NOT_RUN if clean else outcome.Outcome.UNKNOWN
        return [cancel, self._refusal(found.spec.request, result)]

    def _caller_gone(self, request: str) -> list[effects.Effect]:
        found = self._requests.get(request)
        if found is None or not found.spec.repeatable:
            return []
        self._forget(found)
        return [
            effects.CancelAttempt(found.attempt, found.server, found.attempt),
            self._refusal(request, outcome.Outcome.UNKNOWN),
        ]

    def _tick(self, now_s: float) -> list[effects.Effect]:
        silent = [
            found.attempt
            for found in self._requests.values()
            if now_s - found.progress_s > self._silence_s(found)
        ]
        return [
            effect
            for attempt in silent
            for effect in self._failed(attempt, Kind.SILENT, now_s)
        ]

    def _silence_s(self, found: PlainRequest) -> float:
        if found.index:
            return IDLE_TIMEOUT_S
        limit_s = found.spec.deadline_s - found.spec.arrived_s
        return max(FIRST_CHUNK_TIMEOUT_S, limit_s)

    def _forget(self, found: PlainRequest) -> None:
        self._attempts.pop(found.attempt, None)
        self._requests.pop(found.spec.request, None)

    def _refusal(
        self, request: str, result: outcome.Outcome
    ) -> effects.RefuseRequest:
        return effects.RefuseRequest(request, result, "overloaded", 1.0)
