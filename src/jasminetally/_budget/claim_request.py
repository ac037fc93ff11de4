"""Input of ``BudgetManager.claim``."""

from __future__ import annotations

from typing import NamedTuple


class ClaimRequest(NamedTuple):
    """Claim of an admitted request that may run at most once.

    Attributes:
        reservation: Id of the reservation of the admitted request.
        key_hash: Hash of the idempotency key.
        fingerprint: Hash of body, event and tier.
        server: Backend server chosen.
        wait_until_s: Deadline of the decision, monotonic seconds.
    """

    reservation: str
    key_hash: str
    fingerprint: str
    server: str
    wait_until_s: float
