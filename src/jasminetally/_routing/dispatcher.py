"""Entry point of the routing decisions of one router."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from jasminetally import _errors
from jasminetally._routing import context
from jasminetally._routing import effects
from jasminetally._routing import events
from jasminetally._routing import failure_handler
from jasminetally._routing import failure_kind
from jasminetally._routing import latency_calibrator
from jasminetally._routing import match_result
from jasminetally._routing import request_closer
from jasminetally._routing import request_record
from jasminetally._routing import request_scheduler
from jasminetally._routing import request_state
from jasminetally._routing import routing_policy

if TYPE_CHECKING:
    from collections.abc import Iterable

    from jasminetally._routing import suspicion

State = request_state.RequestState
Record = request_record.RequestRecord
Match = match_result.MatchResult
Kind = failure_kind.FailureKind
Effects = list[effects.Effect]


class Dispatcher:
    """Decides where and when requests run and what callers receive.

    Single-threaded and without I/O: the owner passes in events with the
    current time and executes the returned effects in order. It skips an effect
    whose attempt has ended in the meantime.
    """

    def __init__(
        self, *, policy: routing_policy.RoutingPolicy, rng: random.Random
    ) -> None:
        self._ctx = context.Context(policy=policy, rng=rng)
        self._closer = request_closer.RequestCloser(self._ctx)
        self._calibrator = latency_calibrator.LatencyCalibrator(self._ctx)
        self._scheduler = request_scheduler.RequestScheduler(
            self._ctx, self._closer
        )
        self._failures = failure_handler.FailureHandler(
            self._ctx, self._closer, self._scheduler
        )

    @property
    def in_progress(self) -> int:
        """Number of requests that have not been completed or refused."""
        return len(self._ctx.records)

    @property
    def waiting(self) -> int:
        """Number of requests in the queue for a server."""
        return len(self._ctx.queue)

    def suspicions(
        self, fingerprints: Iterable[str] | None = None
    ) -> tuple[suspicion.Suspicion, ...]:
        """Return the suspicions for the reply to a peer's broadcast.

        Call it after ``SuspicionsReceived`` was handled: the runs of this
        router in the reply show the peer that it must not run those suspects.

        Args:
            fingerprints: Fingerprints in the peer's broadcast; None for all.
        """
        return self._ctx.suspects.export_suspicions(fingerprints)

    def handle(self, event: events.Event, now_s: float) -> Effects:
        """Process an event and return the effects to execute.

        Args:
            event: What happened.
            now_s: Time in seconds on a monotonic clock.

        Returns:
            Effects in the order of execution.

        Raises:
            InvariantError: A request with the same id is in progress.
        """
        out: Effects = []
        match event:
            case events.ChunkReceived():
                self._on_chunk(event, now_s, out)
            case events.RequestSubmitted(spec):
                self._check_new(spec.request)
                self._scheduler.submit(spec, now_s, out)
            case events.Tick():
                self._on_tick(now_s, out)
            case events.AttemptAcknowledged(name):
                self._on_acknowledged(name, now_s)
            case events.AttemptFailed(name, kind, bytes_sent):
                self._on_failed(name, kind, now_s, out, bytes_sent=bytes_sent)
            case events.CallerDisconnected(request):
                self._on_caller_disconnected(request, now_s, out)
            case events.SuspicionsReceived() | events.BroadcastFinished():
                self._on_suspects(event, now_s, out)
            case (
                events.ServerClaimed()
                | events.ClaimFailed()
                | events.ClaimExists()
            ):
                self._on_claim(event, now_s, out)
            case _:
                self._on_server(event, now_s, out)
        return out

    def _check_new(self, request: str) -> None:
        if request in self._ctx.records:
            raise _errors.InvariantError(
                f"request {request!r} was submitted while a request with this "
                "id is in progress; expected a new id, or the end of the first "
                "request before its id is used again"
            )

    def _on_chunk(
        self, chunk: events.ChunkReceived, now_s: float, out: Effects
    ) -> None:
        ctx = self._ctx
        found = ctx.attempts.get(chunk.attempt)
        match ctx.attempts.match_chunk(chunk):
            case Match.LATE:
                out.append(effects.CloseConnection(chunk.attempt))
                return
            case Match.CROSSED | Match.OUT_OF_ORDER:
                self._failures.on_attempt_failed(
                    found, Kind.WRONG_ID, now_s, out, bytes_sent=True
                )
                return
        record = ctx.records[found.request]
        self._calibrator.observe_chunk(found, record, chunk, now_s)
        ctx.table.on_answer(found.server)
        found.last_progress_s = now_s
        found.next_index += 1
        if not found.progressed:
            found.acknowledged = found.progressed = True
            service = record.spec.kind == "service"
            ctx.silence.schedule_check(found, service=service)
        record.may_have_run = True
        record.connection_reset = False
        record.resumes = 0
        record.delivered = found.next_index
        record.tokens += chunk.tokens
        if not record.caller_disconnected:
            out.append(effects.DeliverChunk(record.spec.request, chunk.index))
        if chunk.last:
            self._closer.complete(record, now_s, out)
            self._scheduler.start_waiting(record.group, now_s, out)

    def _on_acknowledged(self, name: str, now_s: float) -> None:
        found = self._ctx.attempts.get(name)
        if found is None:
            return
        found.acknowledged = True
        found.last_progress_s = now_s
        state = self._ctx.table.get(found.server)
        if state is not None and not found.progressed:
            state.acknowledges = True
        record = self._ctx.records[found.request]
        record.may_have_run = True
        if not record.delivered and now_s < record.spec.deadline_s:
            # The request is still queued on the server, so the resume did not
            # fail.
            record.resumes = 0
        self._ctx.table.on_answer(found.server)

    def _on_failed(
        self,
        name: str,
        kind: Kind,
        now_s: float,
        out: Effects,
        *,
        bytes_sent: bool,
    ) -> None:
        found = self._ctx.attempts.get(name)
        if found is None:
            out.append(effects.CloseConnection(name))
            return
        group = self._ctx.records[found.request].group
        self._failures.on_attempt_failed(
            found, kind, now_s, out, bytes_sent=bytes_sent
        )
        self._scheduler.start_waiting(group, now_s, out)

    def _on_tick(self, now_s: float, out: Effects) -> None:
        for silent in self._ctx.silence.silent_attempts(now_s):
            if self._ctx.attempts.get(silent.attempt) is not None:
                self._failures.on_silence(silent, now_s, out)
        self._failures.resume_due(now_s, out)
        self._ctx.broadcaster.resend_due(now_s, out)
        self._scheduler.start_all_waiting(now_s, out)

    def _on_caller_disconnected(
        self, request: str, now_s: float, out: Effects
    ) -> None:
        record = self._ctx.records.get(request)
        if record is None:
            return
        record.caller_disconnected = True
        if not record.spec.repeatable:
            return
        if record.state in (State.RUNNING, State.BROKEN):
            record.may_have_run = True
            self._closer.cancel_run(record, out)
        self._closer.refuse(record, "caller_gone", now_s, out)
        self._scheduler.start_waiting(record.group, now_s, out)

    def _on_server(
        self, event: events.Event, now_s: float, out: Effects
    ) -> None:
        table = self._ctx.table
        match event:
            case events.ServerListed(info):
                known = table.get(info.server)
                if (
                    known is not None
                    and known.info.incarnation
                    and known.info.incarnation != info.incarnation
                    and self._ctx.attempts.on_server(info.server)
                ):
                    self._failures.on_server_crash(info.server, now_s, out)
                table.on_listed(info)
                self._scheduler.start_waiting(
                    (info.kind, info.model), now_s, out
                )
            case events.ServerDraining(server):
                table.on_draining(server)
            case events.ServerUnlisted(server):
                table.on_unlisted(server)
            case events.LoadReport():
                table.on_load_report(event, dither=self._ctx.rng.random())
            case events.RouterCountChanged(count):
                table.router_count = max(1, count)
            case events.CacheEvent():
                table.on_cache_event(event)

    def _on_claim(
        self, event: events.Event, now_s: float, out: Effects
    ) -> None:
        record = self._ctx.records.get(event.request)
        if record is None or record.state is not State.CLAIMING:
            return
        match event:
            case events.ServerClaimed():
                self._scheduler.on_claimed(record, now_s, out)
            case events.ClaimFailed(_, retry_after_s):
                self._closer.refuse(
                    record,
                    "claim_unavailable",
                    now_s,
                    out,
                    retry_after_s=retry_after_s,
                )
            case events.ClaimExists(_, server):
                self._scheduler.take_over_claimed(record, server, now_s, out)
                if not server or record.spec.kind == "service":
                    self._closer.refuse(record, "outcome_unknown", now_s, out)
                    return
                self._failures.resume_stream(record, now_s, out)

    def _on_suspects(
        self, event: events.Event, now_s: float, out: Effects
    ) -> None:
        match event:
            case events.SuspicionsReceived(suspicions):
                new_suspects = self._ctx.suspects.merge_suspicions(
                    suspicions, now_s
                )
                self._failures.cancel_copies(new_suspects, now_s, out)
            case events.BroadcastFinished(broadcast, reached_all):
                self._ctx.broadcaster.on_broadcast_finished(
                    broadcast, now_s, reached_all=reached_all
                )
                for record in list(self._ctx.records.values()):
                    if (
                        record.broadcast == broadcast
                        and record.state is State.ASKING
                    ):
                        self._scheduler.on_broadcast_finished(
                            record, now_s, out, reached_all=reached_all
                        )
                        self._scheduler.start_waiting(record.group, now_s, out)
                        return
