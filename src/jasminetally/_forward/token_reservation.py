"""Reservation of the prepaid tokens of a request."""

from __future__ import annotations

from jasminetally import _errors
from jasminetally._forward import request_job
from jasminetally._prepaid import prepaid_service
from jasminetally._prepaid import reserve_outcome


class TokenReservation:
    """Reserves the most that requests may use, and releases what they leave.

    Args:
        prepaid: Hands out prepaid tokens.
    """

    def __init__(self, prepaid: prepaid_service.PrepaidService) -> None:
        self._prepaid = prepaid

    async def reserve(self, job: request_job.RequestJob) -> None:
        """Reserve the tokens of a request, if its account pays for it.

        Raises:
            NotRunError: They can't be reserved.
        """
        if job.account is None or not job.reserved_tokens:
            return
        outcome = await self._prepaid.reserve(
            job.account.name, job.reserved_tokens, rank=job.route.priority
        )
        match outcome:
            case reserve_outcome.Reserved(source=source):
                job.budget_source = source
            case reserve_outcome.Exhausted(remaining=remaining):
                raise _errors.NotRunError(
                    f"the request may use {job.reserved_tokens} tokens, but "
                    f"only {remaining} prepaid tokens of the client account "
                    "are available",
                    status=402,
                    code="budget_exhausted",
                )
            case reserve_outcome.Unavailable(
                reason=reason, retry_after_s=retry_after_s
            ):
                raise _errors.NotRunError(
                    f"no prepaid tokens could be reserved: {reason}",
                    status=503,
                    code="budget_unavailable",
                    retry_after_s=retry_after_s,
                )

    def release_unused(self, job: request_job.RequestJob) -> None:
        """Release the reserved tokens that a request has not used."""
        if job.account is None or not job.reserved_tokens:
            return
        self._prepaid.release(
            job.account.name, job.reserved_tokens - job.used_tokens
        )
