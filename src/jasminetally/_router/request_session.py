"""Way of one request from its reservation to its complete answer."""

from __future__ import annotations

import queue
import time
from typing import TYPE_CHECKING
from typing import Any

from jasminetally import _errors
from jasminetally._budget import admission_effects
from jasminetally._budget import claim_effects
from jasminetally._ledger import claim_outcomes
from jasminetally._router import dispatch_news
from jasminetally._router import refusals
from jasminetally._router import stream_end
from jasminetally._routing import effects
from jasminetally._routing import events
from jasminetally._routing import failure_kind
from jasminetally._routing import outcome

if TYPE_CHECKING:
    from collections.abc import Callable

    from jasminetally._router import accounting
    from jasminetally._router import attempt_driver
    from jasminetally._router import request_job
    from jasminetally._router import router_parts
    from jasminetally._router import service_driver
    from jasminetally._routing import request_spec

CALLER_CHECK_S = 1.0
RESERVE_WAIT_S = 2.0
CLAIM_WAIT_S = 2.0
# Failures before the server began to run the request.
NOTHING_RAN = ("CONNECT", "REFUSED")


class RequestSession:
    """Execute the dispatcher's effects on one request in its own thread.

    Args:
        parts: Parts of the router.
        job: The request; its tokens are reserved.
        books: Its reservation.
        driver: Its attempts.
        inbox: Queue to which the driver posts.
        caller_gone: Whether the caller has closed its connection.
        claimed_by: Server of an earlier claim of this request, whose stream
            is to be resumed; None for a new request.
    """

    def __init__(
        self,
        parts: router_parts.RouterParts,
        job: request_job.RequestJob,
        *,
        books: accounting.Accounting,
        driver: attempt_driver.AttemptDriver | service_driver.ServiceDriver,
        inbox: queue.SimpleQueue,
        caller_gone: Callable[[], bool],
        claimed_by: str | None = None,
    ) -> None:
        self._parts = parts
        self._job = job
        self._books = books
        self._driver = driver
        self._inbox = inbox
        self._caller_gone = caller_gone
        self._claimed_by = claimed_by
        self._without_caller = False
        self._invalid: _errors.CallerError | None = None
        # Attempt that used the open reservation, and what it used.
        self._run = ""
        self._run_tokens: int | None = None

    def run(self, spec: request_spec.RequestSpec) -> None:
        """Run the request until its answer is complete.

        Raises:
            CallerError: The dispatcher refused it or gave it up.
        """
        self._tell(dispatch_news.SubmitRequest(spec, self._inbox.put))
        while True:
            message = self._next()
            match message:
                case effects.StartAttempt():
                    self._start(message)
                case effects.ResumeAttempt():
                    self._driver.resume(message)
                case effects.ClaimServer():
                    self._claim(message)
                case effects.ReleaseClaim():
                    self._books.release()
                case effects.CancelAttempt():
                    self._cancel(message)
                case stream_end.StreamEnd():
                    self._on_end(message)
                case effects.CompleteRequest():
                    return
                case effects.RefuseRequest():
                    raise self._refused(message)

    def _next(self) -> Any:
        """Return the next message; notice a caller that gives up waiting."""
        while True:
            try:
                return self._inbox.get(timeout=CALLER_CHECK_S)
            except queue.Empty:
                if (
                    not self._driver.open
                    and not self._without_caller
                    and self._caller_gone()
                ):
                    self._lose_caller()

    def _start(self, effect: effects.StartAttempt) -> None:
        if not (
            self._reserve_run()
            and self._books.journal_run(
                effect.server, claimed=not self._job.repeatable
            )
        ):
            self._tell(
                events.AttemptFailed(
                    effect.attempt, failure_kind.FailureKind.NOT_SENT, False
                )
            )
            return
        self._run = effect.attempt
        self._run_tokens = None
        self._driver.start(effect, stream=self._stream_id(effect))

    def _stream_id(self, effect: effects.StartAttempt) -> str:
        """Return the id under which the server keeps the stream.

        Recovery of this router finds streams by incarnation and run, a retry
        of a request that may not run again by the identity.
        """
        if not self._job.repeatable:
            return effect.stream
        run = self._books.admitted.reservation
        return f"{self._parts.fleet.incarnation}/{run}"

    def _reserve_run(self) -> bool:
        """Make sure that a reservation is open that no run has used."""
        if self._run:
            self._settle_run()
        if self._books.admitted is not None:
            return True
        wait_until_s = min(
            self._job.deadline_s, time.monotonic() + RESERVE_WAIT_S
        )
        decision = self._books.reserve(wait_until_s=wait_until_s, rerun=True)
        return isinstance(decision, admission_effects.Admit)

    def _settle_run(self) -> None:
        """Book a run whose answer was not given to the caller."""
        tokens = self._run_tokens
        self._run = ""
        if self._books.admitted is not None:
            bound = self._books.tokens
            self._books.settle(
                bound if tokens is None else tokens, billed=False
            )

    def _claim(self, effect: effects.ClaimServer) -> None:
        request = effect.request
        if self._claimed_by is not None:
            self._tell(events.ClaimExists(request, self._claimed_by))
            return
        if not self._reserve_run():
            self._tell(events.ClaimFailed(request, 1.0))
            return
        wait_until_s = min(
            self._job.deadline_s, time.monotonic() + CLAIM_WAIT_S
        )
        decided = self._books.claim(effect.server, wait_until_s=wait_until_s)
        match decided:
            case claim_outcomes.Claimed():
                self._tell(events.ServerClaimed(request))
            case claim_outcomes.AlreadyClaimed(entry):
                self._books.admitted = None
                self._tell(events.ClaimExists(request, entry.server))
            case claim_effects.ClaimUnavailable(retry_after_s):
                self._books.admitted = None
                self._tell(events.ClaimFailed(request, retry_after_s))
            case claim_outcomes.FingerprintMismatch():
                self._books.admitted = None
                self._tell(events.ClaimFailed(request, 1.0))

    def _cancel(self, effect: effects.CancelAttempt) -> None:
        self._driver.stop()
        address = self._driver.address(effect.server)
        if address is not None:
            self._run_tokens = self._parts.backends.cancel_stream(
                address, self._driver.stream or effect.stream
            )

    def _on_end(self, end: stream_end.StreamEnd) -> None:
        if end.kind == stream_end.CALLER_GONE and not self._job.repeatable:
            self._lose_caller()
            self._driver.go_on_without_caller(end.attempt)
            return
        if not self._driver.take_end(end):
            return
        match end.kind:
            case stream_end.FINISHED | stream_end.CANCELLED:
                return
            case stream_end.CALLER_GONE:
                self._lose_caller()
                return
            case stream_end.INVALID:
                # Ends the request as if the caller had withdrawn it.
                self._invalid = refusals.rejected_by_server(end.detail)
                self._lose_caller()
                return
        if end.kind in NOTHING_RAN and end.attempt == self._run:
            self._run = ""
        kind = failure_kind.FailureKind[end.kind]
        self._tell(
            events.AttemptFailed(end.attempt, kind, end.kind != "CONNECT")
        )

    def _lose_caller(self) -> None:
        self._without_caller = True
        self._tell(events.CallerDisconnected(self._job.request))

    def _refused(self, effect: effects.RefuseRequest) -> _errors.CallerError:
        self._driver.stop()
        if self._invalid is not None:
            self._books.release()
            return self._invalid
        if effect.outcome is outcome.Outcome.NOT_RUN:
            self._books.release()
        else:
            self._settle_run()
            # Nothing of a reservation without a run was used.
            self._books.release()
        return refusals.not_routed(
            effect.outcome, effect.code, effect.retry_after_s
        )

    def _tell(self, message: Any) -> None:
        self._parts.dispatch.tell(message)
