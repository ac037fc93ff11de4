"""Effects that decide a claim."""

from __future__ import annotations

import dataclasses

from jasminetally._ledger import claim_outcomes


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimUnavailable:
    """The claim was not made; the request must not run.

    Attributes:
        retry_after_s: Time after which the caller may retry, in seconds.
    """

    retry_after_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimDecided:
    """Decision on a claim.

    The request may run only if the outcome is ``Claimed``. Any other outcome
    has released the reservation.

    Attributes:
        reservation: Id of the reservation.
        key_hash: Hash of the idempotency key.
        outcome: Outcome of the claim.
    """

    reservation: str
    key_hash: str
    outcome: (
        claim_outcomes.Claimed
        | claim_outcomes.AlreadyClaimed
        | claim_outcomes.FingerprintMismatch
        | ClaimUnavailable
    )
