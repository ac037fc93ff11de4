"""Errors to callers for the outcomes of budget and routing decisions."""

from __future__ import annotations

from jasminetally import _errors
from jasminetally._routing import outcome

STATUS_BY_BUDGET_REASON = {
    "budget_exhausted": 402,
    "unknown_budget": 403,
}
# HTTP status by routing code. Used only before the head of the response is
# sent; a stream that has started can only be aborted.
STATUS_BY_ROUTING_CODE = {
    "request_crashes_servers": 422,
}


def budget_refused(reason: str, retry_after_s: float) -> _errors.NotRunError:
    """Return the error for a request that got no reservation.

    Args:
        reason: Reason of the budget manager; becomes the error code.
        retry_after_s: When the caller may retry, seconds.
    """
    return _errors.NotRunError(
        f"no tokens could be reserved: {reason}",
        status=STATUS_BY_BUDGET_REASON.get(reason, 503),
        code=reason,
        retry_after_s=retry_after_s,
    )


def key_mismatch() -> _errors.CallerError:
    """Return the error for an idempotency key used for another request."""
    return _errors.CallerError(
        "the Idempotency-Key was used with another body, event or tier; "
        "use a new key for a new request",
        status=422,
        code="key_reused",
    )


def answer_gone() -> _errors.AlreadyRanError:
    """Return the error for a request whose answer is no longer stored."""
    return _errors.AlreadyRanError(
        "the request ran and was billed; its answer is no longer available",
        status=410,
        code="answer_gone",
    )


def outcome_unknown(
    code: str = "outcome_unknown",
) -> _errors.OutcomeUnknownToCallerError:
    """Return the error for a request that may have run."""
    return _errors.OutcomeUnknownToCallerError(
        f"the request may have run ({code}); it will not be run again",
        status=409,
        code=code,
    )


def rejected_by_server(detail: str) -> _errors.CallerError:
    """Return the error for a request that the backend server found invalid."""
    return _errors.CallerError(
        f"the backend server rejected the request: {detail}",
        status=400,
        code="rejected_by_server",
    )


def routing_refused(
    result: outcome.Outcome, code: str, retry_after_s: float
) -> _errors.CallerError:
    """Return the error for a request that the dispatcher did not complete.

    Args:
        result: Whether the request ran.
        code: Reason of the dispatcher; becomes the error code.
        retry_after_s: When the caller may retry, seconds.
    """
    if result is outcome.Outcome.NOT_RUN:
        return _errors.NotRunError(
            f"the request did not run: {code}",
            status=STATUS_BY_ROUTING_CODE.get(code, 503),
            code=code,
            retry_after_s=retry_after_s,
        )
    if result is outcome.Outcome.RAN:
        return _errors.AlreadyRanError(
            f"the request ran: {code}", status=410, code=code
        )
    status = STATUS_BY_ROUTING_CODE.get(code, 502)
    return _errors.OutcomeUnknownToCallerError(
        f"the request may have run: {code}",
        status=status,
        code=code,
        retry_after_s=retry_after_s,
    )
