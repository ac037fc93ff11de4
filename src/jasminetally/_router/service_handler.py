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
from jasminetally._router import accepted_request
from jasminetally._router import caller_errors
from jasminetally._router import idempotency_lookup
from jasminetally._router import request_session
from jasminetally._router import run_accounting
from jasminetally._router import service_driver
from jasminetally._routing import request_spec

if TYPE_CHECKING:
    from jasminetally._router import exchange
    from jasminetally._router import request_terms
    from jasminetally._router import router_components

SERVICE_PATH_PREFIX = "/v1/services/"
# Plain services report no token usage; each call is billed as one token.
CALL_TOKENS = 1
MAX_CALL_TIMEOUT_S = 20.0


class ServiceAnswer(NamedTuple):
    """Response that is stored for retries.

    Attributes:
        status: HTTP status code.
        content_type: Content type of the body.
        body: Body.
    """

    status: int
    content_type: str
    body: bytes


class ServiceHandler:
    """Forward calls to plain services.

    Args:
        components: Components of the router.
    """

    def __init__(self, components: router_components.RouterComponents) -> None:
        self._components = components
        self._idempotency = idempotency_lookup.IdempotencyLookup(components)

    def handle(self, exch: exchange.Exchange) -> None:
        """Answer one call.

        Raises:
            CallerError: The call is refused, or its outcome is unknown.
        """
        arrived_s = time.monotonic()
        terms = accepted_request.resolve_terms(exch, self._components.fleet)
        service, path = _split_path(exch.path)
        self._components.fleet.config_lookup.find_services(service)
        body = exch.read_body()
        target = f"/v1/{path}" + (f"?{exch.query}" if exch.query else "")
        req = accepted_request.accept_request(
            exch,
            terms,
            _call_fingerprint(service, target, body, terms),
            arrived_s=arrived_s,
        )
        stored_answer = self._idempotency.begin_request(req)
        if stored_answer is not None:
            _send_reply(exch, stored_answer)
            return
        answer = None
        try:
            answer = self._run_call(exch, req, service, target, body)
        finally:
            self._idempotency.end_request(req, answer)
        _send_reply(exch, answer)

    def _run_call(
        self,
        exch: exchange.Exchange,
        req: accepted_request.AcceptedRequest,
        service: str,
        target: str,
        body: bytes,
    ) -> bytes:
        """Make a call and return the encoded answer to store and to send."""
        accounting = run_accounting.RunAccounting(
            self._components.budget,
            journal_actor=self._components.journal,
            can_journal=lambda: self._components.fleet.can_journal,
            account=req.terms.client_account,
            budget=req.terms.budget,
            tokens=CALL_TOKENS,
            key_hash=req.key_hash,
            fingerprint=req.fingerprint,
        )
        reserved = self._idempotency.reserve_tokens(req, accounting)
        if reserved.answer is not None:
            return reserved.answer
        if reserved.claimed_by is not None:
            # A service has no stream from which the answer of the earlier run
            # could be read.
            raise caller_errors.outcome_unknown()
        inbox: queue.SimpleQueue = queue.SimpleQueue()
        content_type = exch.header("content-type") or "application/json"
        left_s = req.deadline_s - time.monotonic()
        driver = service_driver.ServiceDriver(
            self._components,
            service_driver.ServiceCall(
                target,
                body,
                {"Content-Type": content_type},
                max(0.1, min(MAX_CALL_TIMEOUT_S, left_s)),
            ),
            post_end=inbox.put,
        )
        request_session.RequestSession(
            self._components,
            req,
            accounting=accounting,
            driver=driver,
            inbox=inbox,
            caller_gone=exch.caller_gone,
        ).run_request(_request_spec(req, service))
        reply = driver.reply
        answer = msgspec.msgpack.encode(
            ServiceAnswer(reply.status, reply.content_type, reply.body)
        )
        if not req.repeatable:
            self._idempotency.save_answer(req, answer)
        accounting.settle_answer(CALL_TOKENS)
        return answer


def _split_path(path: str) -> tuple[str, str]:
    service, _, rest = path[len(SERVICE_PATH_PREFIX) :].partition("/")
    parts = rest.split("/")
    if not service or not rest or ".." in parts or "." in parts:
        raise _errors.CallerError(
            f"path {path[:80]!r} does not name a service and a path; expected "
            f"{SERVICE_PATH_PREFIX}<service>/<path>",
            status=404,
            code="unknown_path",
        )
    return service, parse.quote(rest)


def _call_fingerprint(
    service: str, target: str, body: bytes, terms: request_terms.RequestTerms
) -> str:
    call_fields = msgspec.json.encode(
        [service, target, terms.event, terms.tier.name]
    )
    return hashlib.sha256(call_fields + b"\0" + body).hexdigest()[:32]


def _request_spec(
    req: accepted_request.AcceptedRequest, service: str
) -> request_spec.RequestSpec:
    return request_spec.RequestSpec(
        request=req.request_id,
        client_account=req.terms.client_account,
        tier=req.terms.routing_tier,
        model=service,
        kind="service",
        prompt_tokens=0,
        max_tokens=CALL_TOKENS,
        prefix="",
        fingerprint=req.fingerprint,
        repeatable=req.repeatable,
        deadline_s=req.deadline_s,
        arrived_s=req.arrived_s,
    )


def _send_reply(exch: exchange.Exchange, answer: bytes) -> None:
    reply = msgspec.msgpack.decode(answer, type=ServiceAnswer)
    exch.send(reply.status, reply.body, content_type=reply.content_type)
