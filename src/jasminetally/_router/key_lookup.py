"""What is known of earlier requests with the same key."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING
from typing import NamedTuple

from loguru import logger

from jasminetally import _errors
from jasminetally._budget import admission_effects
from jasminetally._budget import key_effects
from jasminetally._ledger import request_entry
from jasminetally._router import answer_book
from jasminetally._router import budget_call
from jasminetally._router import refusals

if TYPE_CHECKING:
    from jasminetally._router import accounting
    from jasminetally._router import request_job
    from jasminetally._router import router_parts

RESERVE_WAIT_S = 2.0
FETCH_TIMEOUT_S = 0.5
SAVE_TRIES = 3
SAVE_PAUSE_S = 0.1


class Reserved(NamedTuple):
    """Result of a reservation.

    Attributes:
        answer: Stored answer of an earlier run; nothing is reserved then.
        claimed_by: Server of an earlier claim whose stream is to be resumed;
            nothing is reserved then either.
    """

    answer: bytes | None = None
    claimed_by: str | None = None


class KeyLookup:
    """Find answers of earlier runs here, at peers and on the platform."""

    def __init__(self, parts: router_parts.RouterParts) -> None:
        self._parts = parts

    def begin(self, job: request_job.RequestJob) -> bytes | None:
        """Register a request; return its answer if this router has it.

        Raises:
            CallerError: The key is in use for another request, or the same
                request still runs.
        """
        if job.key_hash is None:
            return None
        now_s = time.monotonic()
        found = self._parts.answers.begin(
            job.terms.client_account,
            job.key_hash,
            job.fingerprint,
            now_s=now_s,
            wait_s=max(0.0, job.deadline_s - now_s),
        )
        match found:
            case None:
                return None
            case answer_book.Held(fingerprint, body):
                if fingerprint != job.fingerprint:
                    raise refusals.key_mismatch()
                return body
            case str() if found != job.fingerprint:
                raise refusals.key_mismatch()
        raise _errors.OutcomeUnknownToCallerError(
            "the same request is still running; ask again for its answer",
            status=409,
            code="in_progress",
            retry_after_s=1.0,
        )

    def end(self, job: request_job.RequestJob, body: bytes | None) -> None:
        """Note the end of a request, with the answer to keep."""
        if job.key_hash is not None:
            self._parts.answers.end(
                job.terms.client_account,
                job.key_hash,
                body,
                now_s=time.monotonic(),
            )

    def reserve(
        self, job: request_job.RequestJob, books: accounting.Accounting
    ) -> Reserved:
        """Reserve tokens, or find the answer of an earlier run.

        Raises:
            CallerError: No tokens, or the request must not run again.
        """
        if job.key_hash is not None:
            self._refresh(job.terms.client_account)
        wait_until_s = min(job.deadline_s, time.monotonic() + RESERVE_WAIT_S)
        decision = books.reserve(wait_until_s=wait_until_s)
        match decision:
            case admission_effects.Admit():
                return Reserved()
            case admission_effects.Refuse(_, reason, retry_after_s):
                raise refusals.budget_refused(reason, retry_after_s)
            case key_effects.FingerprintMismatch():
                raise refusals.key_mismatch()
            case key_effects.AlreadyCompleted(_, entry):
                return self._completed(job, books, entry, wait_until_s)
            case key_effects.AlreadyClaimed(_, entry):
                return self._claimed(job, entry)
        raise refusals.budget_refused("platform_unavailable", 1.0)

    def save(self, job: request_job.RequestJob, body: bytes) -> None:
        """Store the answer of a request that may not run again."""
        for _ in range(SAVE_TRIES):
            if self._parts.store.save(
                job.terms.client_account, job.key_hash or "", body
            ):
                return
            time.sleep(SAVE_PAUSE_S)
        logger.error("route: answer of {} is kept here only", job.request)

    def _refresh(self, account: str) -> None:
        """Let the budget know requests that other routers have completed."""
        found = self._parts.store.read_record(account)
        if found is None:
            return
        record, version = found
        self._parts.budget.tell(
            budget_call.BudgetCall(
                account, lambda m, now: m.on_record(record, version, now)
            )
        )

    def _completed(
        self,
        job: request_job.RequestJob,
        books: accounting.Accounting,
        entry: request_entry.RequestEntry,
        wait_until_s: float,
    ) -> Reserved:
        body = self._fetch(job, entry.incarnation)
        if body is not None:
            return Reserved(answer=body)
        if entry.server or not job.repeatable:
            raise refusals.answer_gone()
        decision = books.reserve(wait_until_s=wait_until_s, rerun=True)
        if isinstance(decision, admission_effects.Admit):
            return Reserved()
        raise refusals.answer_gone()

    def _claimed(
        self, job: request_job.RequestJob, entry: request_entry.RequestEntry
    ) -> Reserved:
        body = self._fetch(job, entry.incarnation)
        if body is not None:
            return Reserved(answer=body)
        if entry.state == request_entry.UNKNOWN or not entry.server:
            raise refusals.outcome_unknown()
        return Reserved(claimed_by=entry.server)

    def _fetch(
        self, job: request_job.RequestJob, incarnation: str
    ) -> bytes | None:
        """Return an answer from the router that has it or the platform."""
        account, key_hash = job.terms.client_account, job.key_hash
        peers = self._parts.peers
        sender = peers.sender()
        try:
            reply = peers.call(
                incarnation,
                lambda client: client.fetch_answer(sender, account, key_hash),
                timeout_s=FETCH_TIMEOUT_S,
            )
            if reply.found:
                return reply.body
        except _errors.PeerUnreachableError as exc:
            logger.debug("route: answer not fetched: {}", exc)
        return self._parts.store.find(account, key_hash)
