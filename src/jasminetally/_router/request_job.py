"""Accepted request on its way through the router."""

from __future__ import annotations

import hashlib
import secrets
import time
from typing import TYPE_CHECKING
from typing import NamedTuple

from jasminetally import _errors
from jasminetally._router import caller_terms

if TYPE_CHECKING:
    from jasminetally._router import exchange
    from jasminetally._router import fleet

KEY_LIMIT = 255
REPEATABLE = {"true": True, "false": False}


class RequestJob(NamedTuple):
    """Identity and terms of one request.

    Attributes:
        terms: Client account, budget, tier and deadline.
        request: Id; derived from the identity if there is a key.
        key_hash: Hash of client account and key; None without a key.
        fingerprint: Hash of body, event and tier.
        repeatable: Whether it may run again after a failure.
        arrived_s: Monotonic time of arrival.
        deadline_s: Monotonic time by which the answer is due.
    """

    terms: caller_terms.CallerTerms
    request: str
    key_hash: str | None
    fingerprint: str
    repeatable: bool
    arrived_s: float
    deadline_s: float


def terms_of(
    exch: exchange.Exchange, known: fleet.Fleet
) -> caller_terms.CallerTerms:
    """Return the terms of a request after checking its key and headers.

    Raises:
        CallerError: Key, event or tier is not accepted.
    """
    found = known.catalogue
    if found is None:
        raise not_serving(known)
    account = found.authenticate(exch.header("authorization"))
    return found.terms(
        account,
        event=exch.header("jasminetally-event"),
        tier=exch.header("jasminetally-tier"),
        now_wall_s=time.time(),
    )


def build(
    exch: exchange.Exchange,
    terms: caller_terms.CallerTerms,
    fingerprint: str,
    *,
    arrived_s: float,
) -> RequestJob:
    """Return the job of a request.

    Raises:
        CallerError: A header is invalid.
    """
    key = exch.header("idempotency-key")
    if key is not None and not 1 <= len(key) <= KEY_LIMIT:
        raise _errors.CallerError(
            f"Idempotency-Key has {len(key)} characters; 1 to {KEY_LIMIT} are "
            "accepted",
            status=400,
            code="invalid_header",
        )
    text = exch.header("jasminetally-repeatable") or "true"
    if text not in REPEATABLE:
        raise _errors.CallerError(
            f"Jasminetally-Repeatable is {text[:40]!r}; true or false is "
            "accepted",
            status=400,
            code="invalid_header",
        )
    if key is None and not REPEATABLE[text]:
        raise _errors.CallerError(
            "a request that may not be repeated needs an Idempotency-Key",
            status=400,
            code="key_required",
        )
    key_hash = None if key is None else _hash(terms.client_account, key)
    left_s = terms.deadline_wall_s - time.time()
    return RequestJob(
        terms,
        key_hash or secrets.token_hex(16),
        key_hash,
        fingerprint,
        REPEATABLE[text],
        arrived_s,
        time.monotonic() + left_s,
    )


def not_serving(known: fleet.Fleet) -> _errors.NotRunError:
    """Return the refusal of a router that is starting or draining."""
    draining = known.draining.is_set()
    others = [
        address
        for address in known.addresses.addresses
        if address != known.http_address
    ]
    text = "this router is " + ("draining" if draining else "starting")
    if others:
        text += f"; other routers: {', '.join(others)}"
    return _errors.NotRunError(
        text,
        status=503,
        code="draining" if draining else "starting",
        retry_after_s=0.1 if others else 1.0,
    )


def _hash(account: str, key: str) -> str:
    return hashlib.sha256(f"{account}\0{key}".encode()).hexdigest()[:32]
