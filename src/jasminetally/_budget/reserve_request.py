"""Request for a reservation of tokens."""

from __future__ import annotations

from typing import NamedTuple


class ReserveRequest(NamedTuple):
    """Tokens that a request needs before it may run.

    Attributes:
        reservation: Id of the reservation, unique within the incarnation.
        budget: Budget that pays.
        tokens: Upper bound of the request's usage.
        wait_until_s: Latest time of a decision, monotonic seconds.
        key_hash: Hash of the request's identity; None when it has none.
        fingerprint: Hash of body, event and tier.
        rerun: Run although the key is completed; the usage is then unbilled.
    """

    reservation: str
    budget: str
    tokens: int
    wait_until_s: float
    key_hash: str | None = None
    fingerprint: str = ""
    rerun: bool = False
