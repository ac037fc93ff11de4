"""Errors with which the router itself answers a caller's request."""

from __future__ import annotations

from jasminetally import _errors
from jasminetally._forward import request_job


def no_server_error(
    job: request_job.RequestJob, code: str, retry_after_s: float
) -> _errors.CallerError:
    """Return the error for a request for which no backend server is left.

    Args:
        job: The request; decides whether the error may claim that it did not
            run.
        code: Error code if the request did not run.
        retry_after_s: Seconds after which the caller may try again, if the
            request did not run.
    """
    if job.may_have_run:
        return outcome_unknown_error(
            f"{code}, and an earlier attempt may have run it"
        )
    return not_run_error(code, retry_after_s)


def not_run_error(
    code: str, retry_after_s: float | None
) -> _errors.NotRunError:
    """Return the error for a request that did not run at any backend server.

    Args:
        code: Error code.
        retry_after_s: Seconds after which the caller may try again; None to
            state no time.
    """
    return _errors.NotRunError(
        f"the request did not run and may be sent again: {code}",
        status=503,
        code=code,
        retry_after_s=retry_after_s,
    )


def outcome_unknown_error(reason: str) -> _errors.OutcomeUnknownToCallerError:
    """Return the error for a request that may have run without a response.

    Args:
        reason: Cause, for the log and the caller.
    """
    return _errors.OutcomeUnknownToCallerError(
        f"the request may have run and is not run again: {reason}",
        status=502,
        code="outcome_unknown",
    )
