"""Start of runs on backend servers."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from jasminetally._routing import attempt
from jasminetally._routing import effects
from jasminetally._routing import request_closer
from jasminetally._routing import request_record
from jasminetally._routing import request_state

if TYPE_CHECKING:
    from jasminetally._routing import context
    from jasminetally._routing import server_state

State = request_state.RequestState
Record = request_record.RequestRecord
Effects = list[effects.Effect]


class RunStarter:
    """Claims and starts requests for which a server has been chosen."""

    def __init__(
        self, ctx: context.Context, closer: request_closer.RequestCloser
    ) -> None:
        self._ctx = ctx
        self._closer = closer

    def take_over_claimed(
        self, record: Record, server: str, now_s: float, out: Effects
    ) -> None:
        """Continue a request that an earlier claim assigned to a server."""
        self._closer.release_resources(record, now_s, out, cleared=False)
        record.claimed = True
        record.may_have_run = True
        record.server = server
        record.stream = record.spec.request
        record.state = State.RUNNING
        self._ctx.table.reserve(server, record.spec, now_s)

    def start_or_claim(
        self,
        record: Record,
        state: server_state.ServerState,
        now_s: float,
        out: Effects,
    ) -> None:
        """Start a run; claim a request that may not be repeated first."""
        if record.spec.repeatable or record.claimed:
            self.start_run(record, state, now_s, out)
            return
        record.state = State.CLAIMING
        out.append(effects.ClaimServer(record.spec.request, state.server))

    def start_run(
        self,
        record: Record,
        state: server_state.ServerState,
        now_s: float,
        out: Effects,
    ) -> None:
        """Start a run on the chosen server."""
        ctx = self._ctx
        spec = record.spec
        record.state = State.RUNNING
        record.run_started_s = now_s
        record.runs += 1
        record.retry_charged = False
        record.attempt = ctx.new_id()
        record.stream = record.attempt if spec.repeatable else spec.request
        self._open_attempt(record, state, now_s)
        if record.run_approved:
            update = ctx.suspects.start_run(spec.fingerprint)
            ctx.broadcaster.broadcast((update,), out)
        out.append(
            effects.StartAttempt(
                request=spec.request,
                attempt=record.attempt,
                server=state.server,
                stream=record.stream,
                # A request sent on a dead pooled connection gets no answer. If
                # it may not be repeated, its outcome would stay unknown.
                fresh_connection=record.runs > 1
                or not spec.repeatable
                or ctx.table.needs_fresh_connection(state.server, now_s),
                priority=math.floor(ctx.queue.effective_rank(record, now_s)),
            )
        )

    def _open_attempt(
        self,
        record: Record,
        state: server_state.ServerState,
        now_s: float,
    ) -> None:
        ctx = self._ctx
        spec = record.spec
        started = attempt.Attempt(
            attempt=record.attempt,
            request=spec.request,
            server=state.server,
            resumed=False,
            started_s=now_s,
            last_progress_s=now_s,
            predicted_first_token_s=ctx.admission.predict_first_token_s(
                state, spec, counted=True
            ),
            predicted_run_s=ctx.admission.predict_run_s(
                state, spec, counted=True
            ),
            acknowledges=state.acknowledges,
        )
        ctx.attempts.add(started)
        ctx.silence.schedule_check(started, service=spec.kind == "service")
