"""Request for a claim."""

from __future__ import annotations

from typing import NamedTuple


class ClaimRequest(NamedTuple):
    """Claim of an admitted request that may run at most once.

    Attributes:
        reservation: Reservation that was admitted for the request.
        key_hash: Hash of the request's identity.
        fingerprint: Hash of body, event and tier.
        server: Backend server chosen.
        wait_until_s: Latest time of a decision, monotonic seconds.
    """

    reservation: str
    key_hash: str
    fingerprint: str
    server: str
    wait_until_s: float
