"""Input of ``BudgetManager.reserve``."""

from __future__ import annotations

from typing import NamedTuple


class ReserveRequest(NamedTuple):
    """Request for the tokens that a run may use.

    Attributes:
        reservation: Id of the reservation, unique within the incarnation.
        budget: Budget that pays.
        tokens: Upper bound of the request's usage.
        wait_until_s: Deadline of the decision, monotonic seconds.
        key_hash: Hash of the idempotency key; None for requests without one.
        fingerprint: Hash of body, event and tier.
        rerun: Whether to run even if the key is completed; the usage is then
            booked as unbilled.
    """

    reservation: str
    budget: str
    tokens: int
    wait_until_s: float
    key_hash: str | None = None
    fingerprint: str = ""
    rerun: bool = False
