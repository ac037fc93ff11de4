"""Look-up of earlier runs of a request by its idempotency key."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING
from typing import NamedTuple

from loguru import logger

from jasminetally import _errors
from jasminetally._budget import admission_effects
from jasminetally._budget import key_effects
from jasminetally._ledger import request_entry
from jasminetally._router import answer_cache
from jasminetally._router import budget_call
from jasminetally._router import caller_errors

if TYPE_CHECKING:
    from jasminetally._router import accepted_request
    from jasminetally._router import router_components
    from jasminetally._router import run_accounting

RESERVATION_WAIT_S = 2.0
ANSWER_FETCH_TIMEOUT_S = 0.5
MAX_SAVE_ATTEMPTS = 3
SAVE_RETRY_PAUSE_S = 0.1


class ReservationResult(NamedTuple):
    """Result of a reservation; tokens are reserved if both fields are None.

    Attributes:
        answer: Stored answer of an earlier run.
        claimed_by: Backend server of an earlier claim, whose stream is to be
            resumed.
    """

    answer: bytes | None = None
    claimed_by: str | None = None


class IdempotencyLookup:
    """Find answers of earlier runs at this router, its peers or the platform.

    Args:
        components: Components of the router.
    """

    def __init__(self, components: router_components.RouterComponents) -> None:
        self._components = components

    def begin_request(
        self, req: accepted_request.AcceptedRequest
    ) -> bytes | None:
        """Register a request; return its answer if this router has it.

        Raises:
            CallerError: The key was used for another request, or the same
                request is still running.
        """
        if req.key_hash is None:
            return None
        now_s = time.monotonic()
        known_run = self._components.answers.begin_request(
            req.terms.client_account,
            req.key_hash,
            req.fingerprint,
            now_s=now_s,
            wait_s=max(0.0, req.deadline_s - now_s),
        )
        match known_run:
            case None:
                return None
            case answer_cache.CachedAnswer(fingerprint, body):
                if fingerprint != req.fingerprint:
                    raise caller_errors.key_mismatch()
                return body
            case str() if known_run != req.fingerprint:
                raise caller_errors.key_mismatch()
        raise _errors.OutcomeUnknownToCallerError(
            "the request with this Idempotency-Key is still running; "
            "retry later for its answer",
            status=409,
            code="in_progress",
            retry_after_s=1.0,
        )

    def end_request(
        self, req: accepted_request.AcceptedRequest, body: bytes | None
    ) -> None:
        """Record the end of a request, with the answer to keep."""
        if req.key_hash is not None:
            self._components.answers.end_request(
                req.terms.client_account,
                req.key_hash,
                body,
                now_s=time.monotonic(),
            )

    def reserve_tokens(
        self,
        req: accepted_request.AcceptedRequest,
        accounting: run_accounting.RunAccounting,
    ) -> ReservationResult:
        """Reserve tokens, or find the answer of an earlier run.

        Raises:
            CallerError: No tokens could be reserved, or the request must not
                run again.
        """
        if req.key_hash is not None:
            self._refresh_account(req.terms.client_account)
        wait_until_s = min(
            req.deadline_s, time.monotonic() + RESERVATION_WAIT_S
        )
        decision = accounting.reserve(wait_until_s=wait_until_s)
        match decision:
            case admission_effects.Admit():
                return ReservationResult()
            case admission_effects.Refuse(_, reason, retry_after_s):
                raise caller_errors.budget_refused(reason, retry_after_s)
            case key_effects.FingerprintMismatch():
                raise caller_errors.key_mismatch()
            case key_effects.AlreadyCompleted(_, entry):
                return self._resolve_completed(
                    req, accounting, entry, wait_until_s
                )
            case key_effects.AlreadyClaimed(_, entry):
                return self._resolve_claimed(req, entry)
        raise caller_errors.budget_refused("platform_unavailable", 1.0)

    def save_answer(
        self, req: accepted_request.AcceptedRequest, body: bytes
    ) -> None:
        """Store the answer of a request that may not run again."""
        for _ in range(MAX_SAVE_ATTEMPTS):
            if self._components.store.save_answer(
                req.terms.client_account, req.key_hash or "", body
            ):
                return
            time.sleep(SAVE_RETRY_PAUSE_S)
        logger.error(
            "route: answer of request {} could not be stored on the "
            "platform; only this router has it",
            req.request_id,
        )

    def _refresh_account(self, account: str) -> None:
        """Pass requests that other routers completed to the budget manager."""
        record_and_version = self._components.store.read_record(account)
        if record_and_version is None:
            return
        record, version = record_and_version
        self._components.budget.tell(
            budget_call.BudgetCall(
                account, lambda m, now: m.on_record(record, version, now)
            )
        )

    def _resolve_completed(
        self,
        req: accepted_request.AcceptedRequest,
        accounting: run_accounting.RunAccounting,
        entry: request_entry.RequestEntry,
        wait_until_s: float,
    ) -> ReservationResult:
        body = self._fetch_answer(req, entry.incarnation)
        if body is not None:
            return ReservationResult(answer=body)
        if entry.server or not req.repeatable:
            raise caller_errors.answer_gone()
        decision = accounting.reserve(wait_until_s=wait_until_s, rerun=True)
        if isinstance(decision, admission_effects.Admit):
            return ReservationResult()
        raise caller_errors.answer_gone()

    def _resolve_claimed(
        self,
        req: accepted_request.AcceptedRequest,
        entry: request_entry.RequestEntry,
    ) -> ReservationResult:
        body = self._fetch_answer(req, entry.incarnation)
        if body is not None:
            return ReservationResult(answer=body)
        if entry.state == request_entry.UNKNOWN or not entry.server:
            raise caller_errors.outcome_unknown()
        return ReservationResult(claimed_by=entry.server)

    def _fetch_answer(
        self, req: accepted_request.AcceptedRequest, incarnation: str
    ) -> bytes | None:
        """Return an answer from the router that has it or from the platform."""
        account, key_hash = req.terms.client_account, req.key_hash
        peers = self._components.peers
        sender = peers.build_sender()
        try:
            reply = peers.call(
                incarnation,
                lambda client: client.fetch_answer(sender, account, key_hash),
                timeout_s=ANSWER_FETCH_TIMEOUT_S,
            )
            if reply.found:
                return reply.body
        except _errors.PeerUnreachableError as exc:
            logger.debug(
                "route: answer not fetched from {}: {}", incarnation, exc
            )
        return self._components.store.find_answer(account, key_hash)
