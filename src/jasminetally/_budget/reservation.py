"""Reservation of an admitted request."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(slots=True)
class Reservation:
    """Tokens held for a request between admission and finish.

    Attributes:
        reservation: Id.
        budget: Budget that pays.
        grant: Grant that is charged.
        tokens: Tokens reserved.
        key_hash: Hash of the request's identity, or None.
        fingerprint: Hash of body, event and tier.
        isolated: Taken from the isolated share.
        claimed: A claim of this reservation was confirmed.
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
