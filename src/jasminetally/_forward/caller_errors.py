"""Error answers of the router to requests that no server has answered."""

from __future__ import annotations

from jasminetally import _errors
from jasminetally._forward import request_job


def no_server_error(
    job: request_job.RequestJob, code: str, retry_after_s: float
) -> _errors.CallerError:
    """Return the error for a request that no server takes (any more)."""
    if job.may_have_run:
        return outcome_unknown_error(
            f"{code} after an attempt that may have run"
        )
    return not_run_error(code, retry_after_s)


def not_run_error(
    code: str, retry_after_s: float | None
) -> _errors.NotRunError:
    """Return the error for a request that surely did not run."""
    return _errors.NotRunError(
        f"the request did not run: {code}",
        status=503,
        code=code,
        retry_after_s=retry_after_s,
    )


def outcome_unknown_error(reason: str) -> _errors.OutcomeUnknownToCallerError:
    """Return the error for a request that may have run."""
    return _errors.OutcomeUnknownToCallerError(
        f"the request may have run: {reason}",
        status=502,
        code="outcome_unknown",
    )
