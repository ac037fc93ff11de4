"""Execution of one request from its reservation to its complete answer."""

from __future__ import annotations

import queue
import time
from typing import TYPE_CHECKING
from typing import Any

from jasminetally import _errors
from jasminetally._budget import admission_effects
from jasminetally._budget import claim_effects
from jasminetally._ledger import claim_outcomes
from jasminetally._router import caller_errors
from jasminetally._router import dispatch_messages
from jasminetally._router import stream_end
from jasminetally._routing import effects
from jasminetally._routing import events
from jasminetally._routing import failure_kind
from jasminetally._routing import outcome

if TYPE_CHECKING:
    from collections.abc import Callable

    from jasminetally._router import accepted_request
    from jasminetally._router import attempt_driver
    from jasminetally._router import router_components
    from jasminetally._router import run_accounting
    from jasminetally._router import service_driver
    from jasminetally._routing import request_spec

CALLER_CHECK_INTERVAL_S = 1.0
RESERVATION_WAIT_S = 2.0
CLAIM_WAIT_S = 2.0
# Kinds of failure after which the backend server has not run the request.
NOT_RUN_KINDS = ("CONNECT", "REFUSED")


class RequestSession:
    """Execute the dispatcher's effects on one request in its own thread.

    Args:
        components: Components of the router.
        req: Accepted request; its tokens are reserved.
        accounting: Reservation of the request.
        driver: Attempts of the request.
        inbox: Queue to which the driver and the dispatcher post.
        caller_gone: Returns whether the caller has closed its connection.
        claimed_by: Backend server of an earlier claim of this request, whose
            stream is to be resumed; None for a new request.
    """

    def __init__(
        self,
        components: router_components.RouterComponents,
        req: accepted_request.AcceptedRequest,
        *,
        accounting: run_accounting.RunAccounting,
        driver: attempt_driver.AttemptDriver | service_driver.ServiceDriver,
        inbox: queue.SimpleQueue,
        caller_gone: Callable[[], bool],
        claimed_by: str | None = None,
    ) -> None:
        self._components = components
        self._req = req
        self._accounting = accounting
        self._driver = driver
        self._inbox = inbox
        self._caller_gone = caller_gone
        self._claimed_by = claimed_by
        self._caller_disconnected = False
        self._rejection: _errors.CallerError | None = None
        # Attempt that used the open reservation, and the tokens it used; None
        # if they are not known.
        self._used_attempt = ""
        self._used_tokens: int | None = None

    def run_request(self, spec: request_spec.RequestSpec) -> None:
        """Run the request until its answer is complete.

        Args:
            spec: Request as the dispatcher sees it.

        Raises:
            CallerError: The dispatcher refused the request or could not
                complete it.
        """
        self._notify_dispatcher(
            dispatch_messages.SubmitRequest(spec, self._inbox.put)
        )
        while True:
            message = self._next_message()
            match message:
                case effects.StartAttempt():
                    self._start_attempt(message)
                case effects.ResumeAttempt():
                    self._driver.resume(message)
                case effects.ClaimServer():
                    self._claim_server(message)
                case effects.ReleaseClaim():
                    self._accounting.release()
                case effects.CancelAttempt():
                    self._cancel_attempt(message)
                case stream_end.StreamEnd():
                    self._on_attempt_end(message)
                case effects.CompleteRequest():
                    return
                case effects.RefuseRequest():
                    raise self._refusal_error(message)

    def _next_message(self) -> Any:
        """Return the next message; detect a caller that has disconnected."""
        while True:
            try:
                return self._inbox.get(timeout=CALLER_CHECK_INTERVAL_S)
            except queue.Empty:
                if (
                    not self._driver.is_open
                    and not self._caller_disconnected
                    and self._caller_gone()
                ):
                    self._on_caller_disconnected()

    def _start_attempt(self, effect: effects.StartAttempt) -> None:
        if not (
            self._reserve_run()
            and self._accounting.journal_run(
                effect.server, claimed=not self._req.repeatable
            )
        ):
            self._notify_dispatcher(
                events.AttemptFailed(
                    effect.attempt, failure_kind.FailureKind.NOT_SENT, False
                )
            )
            return
        self._used_attempt = effect.attempt
        self._used_tokens = None
        self._driver.start(effect, stream=self._stream_id(effect))

    def _stream_id(self, effect: effects.StartAttempt) -> str:
        """Return the id under which the server keeps the stream.

        Recovery of this router finds streams by incarnation and reservation. A
        retry of a request that may not run again finds its stream by the id of
        the request.
        """
        if not self._req.repeatable:
            return effect.stream
        run = self._accounting.open_reservation.reservation
        return f"{self._components.fleet.incarnation}/{run}"

    def _reserve_run(self) -> bool:
        """Ensure that a reservation is open that no run has used."""
        if self._used_attempt:
            self._settle_undelivered_run()
        if self._accounting.open_reservation is not None:
            return True
        wait_until_s = min(
            self._req.deadline_s, time.monotonic() + RESERVATION_WAIT_S
        )
        decision = self._accounting.reserve(
            wait_until_s=wait_until_s, rerun=True
        )
        return isinstance(decision, admission_effects.Admit)

    def _settle_undelivered_run(self) -> None:
        """Settle a run whose answer was not delivered, without billing it.

        The whole reservation counts as used if the used tokens are not known.
        """
        tokens = self._used_tokens
        self._used_attempt = ""
        if self._accounting.open_reservation is not None:
            bound = self._accounting.tokens
            self._accounting.settle(
                bound if tokens is None else tokens, billed=False
            )

    def _claim_server(self, effect: effects.ClaimServer) -> None:
        request = effect.request
        if self._claimed_by is not None:
            self._notify_dispatcher(
                events.ClaimExists(request, self._claimed_by)
            )
            return
        if not self._reserve_run():
            self._notify_dispatcher(events.ClaimFailed(request, 1.0))
            return
        wait_until_s = min(
            self._req.deadline_s, time.monotonic() + CLAIM_WAIT_S
        )
        claim_outcome = self._accounting.claim_server(
            effect.server, wait_until_s=wait_until_s
        )
        match claim_outcome:
            case claim_outcomes.Claimed():
                self._notify_dispatcher(events.ServerClaimed(request))
            case claim_outcomes.AlreadyClaimed(entry):
                self._accounting.open_reservation = None
                self._notify_dispatcher(
                    events.ClaimExists(request, entry.server)
                )
            case claim_effects.ClaimUnavailable(retry_after_s):
                self._accounting.open_reservation = None
                self._notify_dispatcher(
                    events.ClaimFailed(request, retry_after_s)
                )
            case claim_outcomes.FingerprintMismatch():
                self._accounting.open_reservation = None
                self._notify_dispatcher(events.ClaimFailed(request, 1.0))

    def _cancel_attempt(self, effect: effects.CancelAttempt) -> None:
        self._driver.stop()
        address = self._driver.find_address(effect.server)
        if address is not None:
            self._used_tokens = self._components.backends.cancel_stream(
                address, self._driver.stream or effect.stream
            )

    def _on_attempt_end(self, end: stream_end.StreamEnd) -> None:
        if end.kind == stream_end.CALLER_GONE and not self._req.repeatable:
            self._on_caller_disconnected()
            self._driver.continue_without_caller(end.attempt)
            return
        if not self._driver.handle_end(end):
            return
        match end.kind:
            case stream_end.FINISHED | stream_end.CANCELLED:
                return
            case stream_end.CALLER_GONE:
                self._on_caller_disconnected()
                return
            case stream_end.INVALID:
                # The dispatcher ends the request as if the caller had
                # disconnected.
                self._rejection = caller_errors.rejected_by_server(end.detail)
                self._on_caller_disconnected()
                return
        if end.kind in NOT_RUN_KINDS and end.attempt == self._used_attempt:
            self._used_attempt = ""
        kind = failure_kind.FailureKind[end.kind]
        self._notify_dispatcher(
            events.AttemptFailed(end.attempt, kind, end.kind != "CONNECT")
        )

    def _on_caller_disconnected(self) -> None:
        self._caller_disconnected = True
        self._notify_dispatcher(events.CallerDisconnected(self._req.request_id))

    def _refusal_error(
        self, effect: effects.RefuseRequest
    ) -> _errors.CallerError:
        self._driver.stop()
        if self._rejection is not None:
            self._accounting.release()
            return self._rejection
        if effect.outcome is outcome.Outcome.NOT_RUN:
            self._accounting.release()
        else:
            self._settle_undelivered_run()
            # Release a reservation that no run has used.
            self._accounting.release()
        return caller_errors.routing_refused(
            effect.outcome, effect.code, effect.retry_after_s
        )

    def _notify_dispatcher(self, message: Any) -> None:
        self._components.dispatch.tell(message)
