"""Recovery of requests after a failed attempt."""

from __future__ import annotations

from typing import TYPE_CHECKING

from jasminetally._routing import attempt
from jasminetally._routing import effects
from jasminetally._routing import failure_kind
from jasminetally._routing import request_closer
from jasminetally._routing import request_record
from jasminetally._routing import request_scheduler as scheduler_
from jasminetally._routing import request_state

if TYPE_CHECKING:
    from collections.abc import Sequence

    from jasminetally._routing import context

State = request_state.RequestState
Record = request_record.RequestRecord
Kind = failure_kind.FailureKind
Effects = list[effects.Effect]


class FailureHandler:
    """Resumes, runs again or refuses requests whose attempt failed."""

    def __init__(
        self,
        ctx: context.Context,
        closer: request_closer.RequestCloser,
        request_scheduler: scheduler_.RequestScheduler,
    ) -> None:
        self._ctx = ctx
        self._closer = closer
        self._scheduler = request_scheduler

    def on_attempt_failed(
        self,
        failed: attempt.Attempt,
        kind: Kind,
        now_s: float,
        out: Effects,
        *,
        bytes_sent: bool,
    ) -> None:
        """Handle the failure of an open attempt."""
        ctx = self._ctx
        record = ctx.records[failed.request]
        if kind is Kind.CONNECT and failed.resumed and record.connection_reset:
            # The connection was reset and the port is closed, so the server
            # process has ended.
            kind = Kind.CRASHED
        ran = kind is not Kind.REFUSED and (bytes_sent or failed.acknowledged)
        record.may_have_run = record.may_have_run or ran
        if kind is Kind.CRASHED:
            self.on_server_crash(failed.server, now_s, out)
            return
        ctx.attempts.remove(failed.attempt)
        if kind not in (Kind.CONNECT, Kind.NOT_SENT):
            out.append(effects.CloseConnection(failed.attempt))
        self._update_server(failed, kind, now_s, out)
        may_be_running = ran or failed.resumed
        self._recover_request(
            record, failed, kind, now_s, out, may_be_running=may_be_running
        )

    def on_silence(
        self, failed: attempt.Attempt, now_s: float, out: Effects
    ) -> None:
        """Handle an attempt that made no progress within its timeout."""
        self.on_attempt_failed(failed, Kind.SILENT, now_s, out, bytes_sent=True)

    def on_server_crash(self, server: str, now_s: float, out: Effects) -> None:
        """Handle the crash of a server process.

        All requests in flight on the server become crash suspects, unless a
        known suspect was running there.
        """
        ctx = self._ctx
        ctx.table.on_crash(server, now_s)
        affected = [
            record
            for record in ctx.records.values()
            if record.server == server
            and record.state in (State.RUNNING, State.BROKEN)
        ]
        self._report_crash(server, affected, now_s, out)
        for record in affected:
            out.append(effects.CloseConnection(record.attempt))
            # An attempt that has just started may already have sent bytes.
            record.may_have_run = True
            record.run_before_crash_s = now_s - record.run_started_s
            self._rerun_or_refuse(record, server, now_s, out)

    def cancel_copies(
        self,
        fingerprints: list[str],
        now_s: float,
        out: Effects,
        *,
        handled: Sequence[Record] = (),
    ) -> None:
        """Cancel the runs of requests that have become crash suspects.

        If one copy of a request crashed its server, the copies running
        elsewhere would crash theirs too.

        Args:
            fingerprints: Fingerprints of the suspects.
            now_s: Time in seconds.
            out: Receives effects.
            handled: Requests that the calling method handles itself.
        """
        names = set(fingerprints)
        for record in list(self._ctx.records.values()):
            if (
                record.spec.fingerprint in names
                and record.state in (State.RUNNING, State.BROKEN)
                and not record.run_approved
                and record.spec.repeatable
                and record not in handled
            ):
                server = record.server
                record.may_have_run = True
                self._closer.cancel_run(record, out)
                self._rerun_or_refuse(record, server, now_s, out)

    def resume_due(self, now_s: float, out: Effects) -> None:
        """Resume the streams whose resume delay has passed."""
        for record in list(self._ctx.records.values()):
            if record.state is State.BROKEN and record.resume_at_s <= now_s:
                self.resume_stream(record, now_s, out)

    def resume_stream(self, record: Record, now_s: float, out: Effects) -> None:
        """Resume a stream on a new connection."""
        ctx = self._ctx
        record.state = State.RUNNING
        record.attempt = ctx.new_id()
        resumed = attempt.Attempt(
            attempt=record.attempt,
            request=record.spec.request,
            server=record.server,
            resumed=True,
            started_s=now_s,
            last_progress_s=now_s,
            next_index=record.delivered,
        )
        ctx.attempts.add(resumed)
        ctx.silence.schedule_check(resumed, service=False)
        out.append(
            effects.ResumeAttempt(
                request=record.spec.request,
                attempt=record.attempt,
                server=record.server,
                stream=record.stream,
                from_index=record.delivered,
            )
        )

    def _update_server(
        self,
        failed: attempt.Attempt,
        kind: Kind,
        now_s: float,
        out: Effects,
    ) -> None:
        ctx = self._ctx
        server = failed.server
        if kind is Kind.SILENT:
            ctx.table.on_silent_connection(server, now_s)
            ctx.silence.reduce_timeouts(server)
            out.append(effects.CloseIdleConnections(server))
        unanswered_resume = failed.resumed and not failed.acknowledged
        if kind is Kind.CONNECT or (kind is Kind.SILENT and unanswered_resume):
            # A new connection to the server does not work either.
            ctx.table.avoid(server, now_s)
        elif kind is Kind.REFUSED and not failed.resumed:
            ctx.table.avoid(server, now_s)

    def _recover_request(
        self,
        record: Record,
        failed: attempt.Attempt,
        kind: Kind,
        now_s: float,
        out: Effects,
        *,
        may_be_running: bool,
    ) -> None:
        stream_lost = failed.resumed and kind is Kind.REFUSED
        may_be_running = may_be_running and not stream_lost
        if kind is Kind.NOT_SENT and not record.may_have_run:
            self._closer.refuse(record, "not_sent", now_s, out)
            return
        if may_be_running and self._can_resume(record, failed):
            record.connection_reset = kind is Kind.RESET or (
                record.connection_reset and kind is Kind.CONNECT
            )
            self._schedule_resume(record, now_s, out)
            return
        if stream_lost and record.connection_reset:
            # After the reset the server answers but no longer has the stream,
            # so it has restarted.
            record.run_before_crash_s = now_s - record.run_started_s
            self._report_crash(failed.server, [record], now_s, out)
        elif may_be_running:
            self._closer.cancel_run(record, out)
        self._rerun_or_refuse(record, failed.server, now_s, out)

    def _can_resume(self, record: Record, failed: attempt.Attempt) -> bool:
        if record.spec.kind == "service" or not record.stream:
            return False
        answered = failed.progressed or failed.acknowledged
        if failed.resumed and not answered and record.can_run_again:
            # The new connection failed too, and another server can run the
            # request.
            return False
        return record.resumes < self._ctx.policy.max_resumes

    def _schedule_resume(
        self, record: Record, now_s: float, out: Effects
    ) -> None:
        record.resumes += 1
        if record.resumes == 1:
            self.resume_stream(record, now_s, out)
            return
        delay_s = self._ctx.policy.resume_delay_s * 2.0 ** (record.resumes - 2)
        record.state = State.BROKEN
        record.resume_at_s = now_s + delay_s

    def _rerun_or_refuse(
        self, record: Record, server: str, now_s: float, out: Effects
    ) -> None:
        """Queue a request for another run if allowed, else refuse it."""
        suspects = self._ctx.suspects
        if suspects.is_blocked(record.spec.fingerprint):
            self._closer.refuse(record, "request_crashes_servers", now_s, out)
            return
        if record.caller_disconnected and record.spec.repeatable:
            self._closer.refuse(record, "caller_gone", now_s, out)
            return
        if not record.can_run_again:
            code = (
                "stream_broken" if record.spec.repeatable else "outcome_unknown"
            )
            self._closer.refuse(record, code, now_s, out)
            return
        record.excluded_servers.add(server)
        self._scheduler.requeue(record, now_s, out)
        self._scheduler.start_waiting(record.group, now_s, out)

    def _report_crash(
        self, server: str, affected: list[Record], now_s: float, out: Effects
    ) -> None:
        ctx = self._ctx
        changed = ctx.suspects.record_crash(
            server, [record.spec.fingerprint for record in affected], now_s
        )
        if changed:
            ctx.broadcaster.broadcast(changed, out)
            names = [item.fingerprint for item in changed]
            self.cancel_copies(names, now_s, out, handled=affected)
