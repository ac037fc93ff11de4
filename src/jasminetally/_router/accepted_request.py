"""Accepted request: its identity, headers and deadline."""

from __future__ import annotations

import hashlib
import secrets
import time
from typing import TYPE_CHECKING
from typing import NamedTuple

from jasminetally import _errors
from jasminetally._router import request_terms

if TYPE_CHECKING:
    from jasminetally._router import exchange
    from jasminetally._router import fleet_state

MAX_KEY_CHARACTERS = 255
REPEATABLE_VALUES = {"true": True, "false": False}


class AcceptedRequest(NamedTuple):
    """Identity and terms of one request whose headers have been checked.

    Attributes:
        terms: Client account, budget, tier and deadline.
        request_id: Hash of client account and idempotency key; random if the
            request has no key.
        key_hash: Hash of client account and idempotency key; None without a
            key.
        fingerprint: Hash of body, event and tier.
        repeatable: Whether the request may run again after a failure.
        arrived_s: Monotonic time of arrival, seconds.
        deadline_s: Monotonic time by which the answer is due, seconds.
    """

    terms: request_terms.RequestTerms
    request_id: str
    key_hash: str | None
    fingerprint: str
    repeatable: bool
    arrived_s: float
    deadline_s: float


def resolve_terms(
    exch: exchange.Exchange, fleet: fleet_state.FleetState
) -> request_terms.RequestTerms:
    """Authenticate a caller and return the terms of its request.

    Args:
        exch: HTTP exchange.
        fleet: State shared by the threads of the router.

    Raises:
        CallerError: The API key, event or tier is not accepted, or the router
            has no configuration yet.
    """
    config = fleet.config_lookup
    if config is None:
        raise not_serving(fleet)
    account = config.authenticate(exch.header("authorization"))
    return config.resolve_terms(
        account,
        event=exch.header("jasminetally-event"),
        tier=exch.header("jasminetally-tier"),
        now_wall_s=time.time(),
    )


def accept_request(
    exch: exchange.Exchange,
    terms: request_terms.RequestTerms,
    fingerprint: str,
    *,
    arrived_s: float,
) -> AcceptedRequest:
    """Check the idempotency headers and return the accepted request.

    Args:
        exch: HTTP exchange.
        terms: Terms of the request.
        fingerprint: Hash of body, event and tier.
        arrived_s: Monotonic time of arrival, seconds.

    Raises:
        CallerError: The value of a header is invalid.
    """
    key = exch.header("idempotency-key")
    if key is not None and not 1 <= len(key) <= MAX_KEY_CHARACTERS:
        raise _errors.CallerError(
            f"Idempotency-Key has {len(key)} characters; expected 1 to "
            f"{MAX_KEY_CHARACTERS}",
            status=400,
            code="invalid_header",
        )
    repeatable_text = exch.header("jasminetally-repeatable") or "true"
    if repeatable_text not in REPEATABLE_VALUES:
        raise _errors.CallerError(
            f"Jasminetally-Repeatable is {repeatable_text[:40]!r}; "
            "expected true or false",
            status=400,
            code="invalid_header",
        )
    if key is None and not REPEATABLE_VALUES[repeatable_text]:
        raise _errors.CallerError(
            "a request with Jasminetally-Repeatable: false needs an "
            "Idempotency-Key",
            status=400,
            code="key_required",
        )
    key_hash = None if key is None else _hash_key(terms.client_account, key)
    left_s = terms.deadline_wall_s - time.time()
    return AcceptedRequest(
        terms,
        key_hash or secrets.token_hex(16),
        key_hash,
        fingerprint,
        REPEATABLE_VALUES[repeatable_text],
        arrived_s,
        time.monotonic() + left_s,
    )


def not_serving(fleet: fleet_state.FleetState) -> _errors.NotRunError:
    """Return the error of a router that is starting or draining.

    It names the other routers, so that the caller can retry there at once.
    """
    draining = fleet.draining.is_set()
    others = [
        address
        for address in fleet.addresses.addresses
        if address != fleet.http_address
    ]
    message = "this router is " + ("draining" if draining else "starting")
    if others:
        message += f"; other routers: {', '.join(others)}"
    return _errors.NotRunError(
        message,
        status=503,
        code="draining" if draining else "starting",
        retry_after_s=0.1 if others else 1.0,
    )


def _hash_key(account: str, key: str) -> str:
    return hashlib.sha256(f"{account}\0{key}".encode()).hexdigest()[:32]
