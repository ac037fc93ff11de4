"""Handler of ``POST /v1/services/<service>/<path>``."""

from __future__ import annotations

import hashlib
import queue
import time
from typing import TYPE_CHECKING
from typing import NamedTuple
from urllib import parse

import msgspec

from jasminetally import _errors
from jasminetally._router import accounting
from jasminetally._router import key_lookup
from jasminetally._router import refusals
from jasminetally._router import request_job
from jasminetally._router import request_session
from jasminetally._router import service_driver
from jasminetally._routing import request_spec

if TYPE_CHECKING:
    from jasminetally._router import caller_terms
    from jasminetally._router import exchange
    from jasminetally._router import router_parts

PREFIX = "/v1/services/"
# Plain services report no tokens; a call is billed as one.
CALL_TOKENS = 1
TIMEOUT_LIMIT_S = 20.0


class ServiceAnswer(NamedTuple):
    """Reply that is kept for retries."""

    status: int
    content_type: str
    body: bytes


class ServiceHandler:
    """Pass calls on to plain services."""

    def __init__(self, parts: router_parts.RouterParts) -> None:
        self._parts = parts
        self._keys = key_lookup.KeyLookup(parts)

    def handle(self, exch: exchange.Exchange) -> None:
        """Answer one call.

        Raises:
            CallerError: The call is refused, or its outcome is not known.
        """
        arrived_s = time.monotonic()
        terms = request_job.terms_of(exch, self._parts.fleet)
        service, path = _split(exch.path)
        self._parts.fleet.catalogue.services(service)
        body = exch.body()
        target = f"/v1/{path}" + (f"?{exch.query}" if exch.query else "")
        job = request_job.build(
            exch,
            terms,
            _fingerprint(service, target, body, terms),
            arrived_s=arrived_s,
        )
        found = self._keys.begin(job)
        if found is not None:
            _send(exch, found)
            return
        answer = None
        try:
            answer = self._run(exch, job, service, target, body)
        finally:
            self._keys.end(job, answer)
        _send(exch, answer)

    def _run(
        self,
        exch: exchange.Exchange,
        job: request_job.RequestJob,
        service: str,
        target: str,
        body: bytes,
    ) -> bytes:
        """Make a call; return the answer to keep and to send."""
        books = accounting.Accounting(
            self._parts.budget,
            journal=self._parts.journal,
            can_journal=lambda: self._parts.fleet.can_journal,
            account=job.terms.client_account,
            budget=job.terms.budget,
            tokens=CALL_TOKENS,
            key_hash=job.key_hash,
            fingerprint=job.fingerprint,
        )
        reserved = self._keys.reserve(job, books)
        if reserved.answer is not None:
            return reserved.answer
        if reserved.claimed_by is not None:
            # A service has no stream from which the answer could be taken.
            raise refusals.outcome_unknown()
        inbox: queue.SimpleQueue = queue.SimpleQueue()
        content_type = exch.header("content-type") or "application/json"
        left_s = job.deadline_s - time.monotonic()
        driver = service_driver.ServiceDriver(
            self._parts,
            service_driver.ServiceCall(
                target,
                body,
                {"Content-Type": content_type},
                max(0.1, min(TIMEOUT_LIMIT_S, left_s)),
            ),
            post=inbox.put,
        )
        request_session.RequestSession(
            self._parts,
            job,
            books=books,
            driver=driver,
            inbox=inbox,
            caller_gone=exch.caller_gone,
        ).run(_spec(job, service))
        reply = driver.reply
        answer = msgspec.msgpack.encode(
            ServiceAnswer(reply.status, reply.content_type, reply.body)
        )
        if not job.repeatable:
            self._keys.save(job, answer)
        books.settle_answer(CALL_TOKENS)
        return answer


def _split(path: str) -> tuple[str, str]:
    service, _, rest = path[len(PREFIX) :].partition("/")
    parts = rest.split("/")
    if not service or not rest or ".." in parts or "." in parts:
        raise _errors.CallerError(
            f"path {path[:80]!r} names no service and path; expected "
            f"{PREFIX}<service>/<path>",
            status=404,
            code="unknown_path",
        )
    return service, parse.quote(rest)


def _fingerprint(
    service: str, target: str, body: bytes, terms: caller_terms.CallerTerms
) -> str:
    named = msgspec.json.encode([service, target, terms.event, terms.tier.name])
    return hashlib.sha256(named + b"\0" + body).hexdigest()[:32]


def _spec(
    job: request_job.RequestJob, service: str
) -> request_spec.RequestSpec:
    return request_spec.RequestSpec(
        request=job.request,
        client_account=job.terms.client_account,
        tier=job.terms.routing_tier,
        model=service,
        kind="service",
        prompt_tokens=0,
        max_tokens=CALL_TOKENS,
        prefix="",
        fingerprint=job.fingerprint,
        repeatable=job.repeatable,
        deadline_s=job.deadline_s,
        arrived_s=job.arrived_s,
    )


def _send(exch: exchange.Exchange, answer: bytes) -> None:
    reply = msgspec.msgpack.decode(answer, type=ServiceAnswer)
    exch.send(reply.status, reply.body, content_type=reply.content_type)
