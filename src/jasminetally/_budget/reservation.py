"""Reservation of an admitted request."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(slots=True)
class Reservation:
    """Tokens reserved for a request until it is settled or cancelled.

    Attributes:
        reservation: Id of the reservation.
        budget: Budget that pays.
        grant: Grant that the usage is charged to.
        tokens: Tokens reserved.
        key_hash: Hash of the idempotency key; None for requests without one.
        fingerprint: Hash of body, event and tier.
        isolated: Whether the tokens were taken from the isolated share.
        claimed: Whether a claim of the request was confirmed.
        server: Backend server of the claim, else empty.
    """

    reservation: str
    budget: str
    grant: str
    tokens: int
    key_hash: str | None
    fingerprint: str
    isolated: bool
    claimed: bool = False
    server: str = ""
