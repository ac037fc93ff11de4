"""Accepted request on its way through the router."""

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
    """Identity and terms of one request.

    Attributes:
        terms: Client account, budget, tier and deadline.
        request_id: Id; derived from the identity if there is a key.
        key_hash: Hash of client account and key; None without a key.
        fingerprint: Hash of body, event and tier.
        repeatable: Whether it may run again after a failure.
        arrived_s: Monotonic time of arrival.
        deadline_s: Monotonic time by which the answer is due.
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
    """Return the terms of a request after checking its key and headers.

    Raises:
        CallerError: Key, event or tier is not accepted.
    """
    found = fleet.config_lookup
    if found is None:
        raise not_serving(fleet)
    account = found.authenticate(exch.header("authorization"))
    return found.resolve_terms(
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
    """Check the headers of a request and return it with its terms.

    Raises:
        CallerError: A header is invalid.
    """
    key = exch.header("idempotency-key")
    if key is not None and not 1 <= len(key) <= MAX_KEY_CHARACTERS:
        raise _errors.CallerError(
            f"Idempotency-Key has {len(key)} characters; 1 to {MAX_KEY_CHARACTERS} are "
            "accepted",
            status=400,
            code="invalid_header",
        )
    text = exch.header("jasminetally-repeatable") or "true"
    if text not in REPEATABLE_VALUES:
        raise _errors.CallerError(
            f"Jasminetally-Repeatable is {text[:40]!r}; true or false is "
            "accepted",
            status=400,
            code="invalid_header",
        )
    if key is None and not REPEATABLE_VALUES[text]:
        raise _errors.CallerError(
            "a request that may not be repeated needs an Idempotency-Key",
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
        REPEATABLE_VALUES[text],
        arrived_s,
        time.monotonic() + left_s,
    )


def not_serving(fleet: fleet_state.FleetState) -> _errors.NotRunError:
    """Return the refusal of a router that is starting or draining."""
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
