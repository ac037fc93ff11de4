"""Completion and refusal of requests."""

from __future__ import annotations

from typing import TYPE_CHECKING

from jasminetally._routing import effects
from jasminetally._routing import outcome
from jasminetally._routing import request_state

if TYPE_CHECKING:
    from jasminetally._routing import context
    from jasminetally._routing import request_record

State = request_state.RequestState

# Codes of refusals for lack of capacity.
CAPACITY_CODES = ("overloaded", "deadline")


class RequestCloser:
    """Ends each request exactly once and releases its resources."""

    def __init__(self, ctx: context.Context) -> None:
        self._ctx = ctx

    def complete(
        self,
        record: request_record.RequestRecord,
        now_s: float,
        out: list[effects.Effect],
    ) -> None:
        """End a request after its complete answer."""
        self._ctx.admission.observe_answer_length(record.spec, record.tokens)
        self.release_resources(record, now_s, out, cleared=True)
        del self._ctx.records[record.spec.request]
        out.append(effects.CompleteRequest(record.spec.request))

    def refuse(
        self,
        record: request_record.RequestRecord,
        code: str,
        now_s: float,
        out: list[effects.Effect],
        *,
        retry_after_s: float | None = None,
    ) -> None:
        """End a request without a complete answer.

        The outcome is ``NOT_RUN`` only if no server can have run any part.
        """
        if code in CAPACITY_CODES:
            rank = self._ctx.policy.tier(record.spec.tier).rank
            self._ctx.queue.recent_refusals.record_refusal(
                record.group, rank, now_s
            )
        if record.state is State.QUEUED:
            self._ctx.queue.remove(record)
        server = record.server
        self.release_resources(record, now_s, out, cleared=False)
        if record.claimed and not record.may_have_run:
            out.append(effects.ReleaseClaim(record.spec.request, server))
        del self._ctx.records[record.spec.request]
        result = outcome.Outcome.NOT_RUN
        if record.may_have_run:
            result = outcome.Outcome.UNKNOWN
        if retry_after_s is None:
            retry_after_s = self._ctx.admission.retry_after_s(0.0)
        out.append(
            effects.RefuseRequest(
                record.spec.request, result, code, retry_after_s
            )
        )

    def cancel_run(
        self,
        record: request_record.RequestRecord,
        out: list[effects.Effect],
    ) -> None:
        """Cancel the stream that may still run on the request's server."""
        if not record.stream:
            return
        self._ctx.attempts.remove(record.attempt)
        out.append(
            effects.CancelAttempt(record.attempt, record.server, record.stream)
        )

    def release_resources(
        self,
        record: request_record.RequestRecord,
        now_s: float,
        out: list[effects.Effect],
        *,
        cleared: bool,
    ) -> None:
        """Release the request's slot on its server and its suspect run.

        Args:
            record: Request.
            now_s: Time in seconds.
            out: Receives effects.
            cleared: Whether it ran to its end, which clears it of the crashes
                that it may have caused.
        """
        ctx = self._ctx
        ctx.attempts.remove(record.attempt)
        ctx.table.release(record.server, record.spec.request, now_s)
        if record.broadcast:
            update = ctx.suspects.end_run(
                record.spec.fingerprint, now_s, cleared=cleared
            )
            if update is not None:
                ctx.broadcaster.broadcast((update,), out)
        record.broadcast = ""
        record.run_approved = False
        record.server = ""
        record.attempt = ""
        record.stream = ""
