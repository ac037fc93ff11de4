"""Log lines and metrics of callers' requests."""

from __future__ import annotations

from collections.abc import Callable
import time

from jasminetally import _errors
from jasminetally._forward import attempt_result
from jasminetally._forward import request_job
from jasminetally._forward import server_connection
from jasminetally._observe import event_log
from jasminetally._observe import events
from jasminetally._observe import request_metrics
from jasminetally._placing import ranked_server
from jasminetally._placing import server_record
from jasminetally._shared import excerpt


class RequestLog:
    """Records what happens to requests, in the log and in the metrics.

    Args:
        log: Receives the log events.
        metrics: Receives the metrics of requests and attempts.
        get_store_answered_s: Returns the monotonic time in seconds at which
            the store last answered; minus infinity if it never has.
    """

    def __init__(
        self,
        log: event_log.EventLog,
        metrics: request_metrics.RequestMetrics,
        get_store_answered_s: Callable[[], float],
    ) -> None:
        self._log = log
        self._metrics = metrics
        self._get_store_answered_s = get_store_answered_s

    def on_sent(
        self,
        job: request_job.RequestJob,
        ranked: list[ranked_server.RankedServer],
        conn: server_connection.ServerConnection,
        version: str | None,
        *,
        left: str | None,
    ) -> None:
        """Record that a request was sent to the first of its candidates.

        Args:
            job: The request.
            ranked: The candidates, the chosen one first.
            conn: Connection on which it was sent.
            version: Version or label of the process that the connection leads
                to; None if not known.
            left: Why the request leaves the data centre; None if it stays.
        """
        self._metrics.count_placed(job.service, left)
        cost, record = ranked[0]
        runners_up = {
            candidate.record.entry.server_id: round(candidate.cost, 2)
            for candidate in ranked[1:]
        }
        self._log.emit(
            events.RequestSent(
                cost=round(cost, 2),
                runners_up=runners_up,
                request=job.request_id,
                server=record.entry.server_id,
                service=job.service,
                attempt=job.attempts,
                config=job.deployment_version,
                left_s=round(job.deadline_s - time.monotonic(), 3),
                running=record.total_load.running_requests,
                waiting_tokens=record.total_load.waiting_tokens,
                pace=round(record.latency_ratio, 2),
                tokens=job.reserved_tokens,
                budget=job.budget_source,
                store_age_s=self._store_age_s(),
                version=version or "",
                entry_version=record.entry.version,
                process_started_ms=conn.process_started_ms,
                resumes=job.resumed_request,
                after_event=job.last_event_id,
                origin=job.origin_source,
                kept=conn.sent_requests > 1,
                left=left,
            ),
            routine=True,
        )

    def on_origin_searched(self, outcome: str) -> None:
        """Record the outcome of the search for a stream's origin.

        Args:
            outcome: How it was found out, or why the stream can't go on.
        """
        self._metrics.count_taken_up(outcome)

    def on_first_answer(self, job: request_job.RequestJob) -> None:
        """Record that the first part of an answer has arrived."""
        self._metrics.record_first_answer(
            job.account_name,
            job.service,
            time.monotonic() - job.request.arrived_s,
        )

    def on_attempt_ended(
        self,
        job: request_job.RequestJob,
        record: server_record.ServerRecord,
        result: attempt_result.AttemptResult,
    ) -> None:
        """Record the result of an attempt.

        Args:
            job: The request.
            record: Record of the server, with the result included.
            result: The result.
        """
        result_name = type(result).__name__.lower()
        self._metrics.count_attempt(job.service, result_name)
        if isinstance(result, attempt_result.Answered):
            return
        self._log.emit(
            events.AttemptFailed(
                request=job.request_id,
                server=record.entry.server_id,
                service=job.service,
                attempt=job.attempts,
                result=result_name,
                reason=getattr(result, "reason", None),
                status=getattr(result, "status", None),
                events=job.relayed_events,
                error_share=round(record.error_rate, 2),
                left_s=round(job.deadline_s - time.monotonic(), 3),
                fingerprint=job.fingerprint,
                parts=[part.part_id for part in job.shared_parts],
            )
        )

    def on_refused(
        self,
        request_id: str,
        job: request_job.RequestJob | None,
        exc: _errors.CallerError,
    ) -> None:
        """Record that a request is answered with an error of this router.

        Args:
            request_id: Id of the request; empty if it has none.
            job: The request; None if it could not be read.
            exc: The error.
        """
        self._log.emit(
            events.RequestRefused(
                request=excerpt.of(request_id),
                status=exc.status,
                code=exc.code,
                reason=str(exc),
                retry_after_s=exc.retry_after_s,
                account=job.account.name if job and job.account else None,
                service=job.service if job else None,
                config=job.deployment_version if job else None,
                store_age_s=self._store_age_s(),
                fingerprint=job.fingerprint if job else None,
            )
        )
        if job is None:
            self._metrics.count_request("", "", exc.code)

    def on_response_aborted(
        self,
        job: request_job.RequestJob,
        exc: _errors.CallerError,
        *,
        stopping: bool,
    ) -> None:
        """Record that a response which had begun is ended incomplete.

        Args:
            job: The request.
            exc: The error, which can't be sent any more.
            stopping: Whether the router is shutting down.
        """
        self._log.emit(
            events.ResponseAborted(
                request=job.request_id,
                code=exc.code,
                reason=str(exc),
                stopping=stopping,
                service=job.service,
                events=job.relayed_events,
                left_s=round(job.deadline_s - time.monotonic(), 3),
            )
        )

    def on_ended(self, job: request_job.RequestJob, outcome: str) -> None:
        """Record the end of a request."""
        self._metrics.count_request(job.account_name, job.service, outcome)
        self._log.emit(
            events.RequestEnded(
                request=job.request_id,
                outcome=outcome,
                route=job.route.name,
                account=job.account_name,
                attempts=job.attempts,
                events=job.relayed_events,
                tokens=job.used_tokens,
                took_s=round(time.monotonic() - job.request.arrived_s, 3),
            ),
            routine=outcome.startswith("answered_2"),
        )

    def _store_age_s(self) -> float | None:
        """Return the seconds since the store last answered; None for never."""
        answered_s = self._get_store_answered_s()
        if answered_s == float("-inf"):
            return None
        return round(time.monotonic() - answered_s, 2)
