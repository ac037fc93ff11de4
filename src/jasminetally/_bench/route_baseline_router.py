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
# Lower limit; a request with a later deadline may wait in the engine until its
# deadline.
FIRST_CHUNK_TIMEOUT_S = 30.0
# Largest number of requests in flight on a router, relative to its share of all
# slots. Of the values from 0.75 to 8, about 5 gave the baselines the most
# complete answers in time at twice the capacity (seed 1, both deployments).
QUEUE_LIMIT_FACTOR = 5.0
PRIORITIES = {"live": 0, "standard": 1, "overnight": 3}

Kind = failure_kind.FailureKind


@dataclasses.dataclass(slots=True)
class BaselineRequest:
    """Request in flight on a baseline router.

    Attributes:
        spec: The request.
        attempt: Id of the current attempt.
        server: Engine of the current attempt.
        attempt_count: Number of attempts so far.
        chunk_count: Chunks received in the current attempt.
        last_progress_s: Virtual time of the last chunk, or of the attempt's
            start.
    """

    spec: request_spec.RequestSpec
    attempt: str = ""
    server: str = ""
    attempt_count: int = 0
    chunk_count: int = 0
    last_progress_s: float = 0.0


class BaselineRouter:
    """Router that chooses engines at random or by least load.

    It limits the requests in flight and retries immediately. It handles the
    same events as the dispatcher, including the delayed list and reports. The
    load of an engine is the reported one plus the requests that this router
    has started since the report.

    Args:
        least_load: Whether the engine with the least load is chosen.
        fleet_share: Share of all slots that this router may use.
        rng: Random generator.
    """

    def __init__(
        self, *, least_load: bool, fleet_share: float, rng: random.Random
    ) -> None:
        self._least_load = least_load
        self._fleet_share = fleet_share
        self._rng = rng
        self._servers: dict[str, int] = {}
        self._reports: dict[str, tuple[float, int]] = {}
        self._recent_starts: dict[str, list[float]] = {}
        self._requests: dict[str, BaselineRequest] = {}
        self._attempts: dict[str, BaselineRequest] = {}

    @property
    def in_progress(self) -> int:
        """Number of requests that have not ended."""
        return len(self._requests)

    def handle(self, event: events.Event, now_s: float) -> list[effects.Effect]:
        """Handle an event and return the effects to execute."""
        match event:
            case events.RequestSubmitted(spec):
                return self._submit_request(spec, now_s)
            case events.ChunkReceived():
                return self._on_chunk(event, now_s)
            case events.AttemptFailed(attempt, kind):
                return self._on_failed(attempt, kind, now_s)
            case events.CallerDisconnected(request):
                return self._on_caller_disconnected(request)
            case events.LoadReport(server, running, waiting, _, at_s):
                self._reports[server] = (at_s, running + waiting)
                started = self._recent_starts.get(server, [])
                self._recent_starts[server] = [t for t in started if t > at_s]
            case events.ServerListed(info):
                self._servers[info.server] = info.slots
            case events.ServerDraining(server) | events.ServerUnlisted(server):
                self._servers.pop(server, None)
            case events.Tick():
                return self._time_out_silent(now_s)
        return []

    def _submit_request(
        self, spec: request_spec.RequestSpec, now_s: float
    ) -> list[effects.Effect]:
        limit = (
            QUEUE_LIMIT_FACTOR * self._fleet_share * sum(self._servers.values())
        )
        if len(self._requests) >= limit:
            return [self._make_refusal(spec.request, outcome.Outcome.NOT_RUN)]
        req = BaselineRequest(spec)
        self._requests[spec.request] = req
        return self._start_attempt(req, now_s)

    def _start_attempt(
        self, req: BaselineRequest, now_s: float
    ) -> list[effects.Effect]:
        servers = sorted(self._servers)
        server = self._rng.choice(servers)
        if self._least_load:
            self._rng.shuffle(servers)
            server = min(servers, key=self._estimate_load)
        self._recent_starts.setdefault(server, []).append(now_s)
        req.attempt_count += 1
        req.chunk_count = 0
        req.last_progress_s = now_s
        req.server = server
        req.attempt = f"{self._rng.getrandbits(64):016x}"
        self._attempts[req.attempt] = req
        return [
            effects.StartAttempt(
                req.spec.request,
                req.attempt,
                server,
                req.attempt,
                False,
                PRIORITIES[req.spec.tier],
            )
        ]

    def _estimate_load(self, server: str) -> int:
        _, reported = self._reports.get(server, (0.0, 0))
        return reported + len(self._recent_starts.get(server, ()))

    def _on_chunk(
        self, chunk: events.ChunkReceived, now_s: float
    ) -> list[effects.Effect]:
        req = self._attempts.get(chunk.attempt)
        if req is None:
            return [effects.CloseConnection(chunk.attempt)]
        req.chunk_count += 1
        req.last_progress_s = now_s
        delivered = effects.DeliverChunk(req.spec.request, chunk.index)
        if not chunk.last:
            return [delivered]
        self._remove_request(req)
        return [delivered, effects.CompleteRequest(req.spec.request)]

    def _on_failed(
        self, attempt: str, kind: Kind, now_s: float
    ) -> list[effects.Effect]:
        req = self._attempts.get(attempt)
        if req is None:
            return []
        cancel = effects.CancelAttempt(attempt, req.server, attempt)
        not_run = kind in (Kind.REFUSED, Kind.CONNECT)
        if req.attempt_count <= RETRY_LIMIT and (
            not_run or req.spec.repeatable
        ):
            del self._attempts[attempt]
            return [cancel, *self._start_attempt(req, now_s)]
        self._remove_request(req)
        result = outcome.Outcome.NOT_RUN if not_run else outcome.Outcome.UNKNOWN
        return [cancel, self._make_refusal(req.spec.request, result)]

    def _on_caller_disconnected(self, request: str) -> list[effects.Effect]:
        req = self._requests.get(request)
        if req is None or not req.spec.repeatable:
            return []
        self._remove_request(req)
        return [
            effects.CancelAttempt(req.attempt, req.server, req.attempt),
            self._make_refusal(request, outcome.Outcome.UNKNOWN),
        ]

    def _time_out_silent(self, now_s: float) -> list[effects.Effect]:
        silent_attempts = [
            req.attempt
            for req in self._requests.values()
            if now_s - req.last_progress_s > self._progress_timeout_s(req)
        ]
        return [
            effect
            for attempt in silent_attempts
            for effect in self._on_failed(attempt, Kind.SILENT, now_s)
        ]

    def _progress_timeout_s(self, req: BaselineRequest) -> float:
        if req.chunk_count:
            return IDLE_TIMEOUT_S
        limit_s = req.spec.deadline_s - req.spec.arrived_s
        return max(FIRST_CHUNK_TIMEOUT_S, limit_s)

    def _remove_request(self, req: BaselineRequest) -> None:
        self._attempts.pop(req.attempt, None)
        self._requests.pop(req.spec.request, None)

    def _make_refusal(
        self, request: str, result: outcome.Outcome
    ) -> effects.RefuseRequest:
        return effects.RefuseRequest(request, result, "overloaded", 1.0)
