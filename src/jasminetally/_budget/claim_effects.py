"""Effects that answer a claim."""

from __future__ import annotations

import dataclasses

from jasminetally._ledger import claim_outcomes


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimUnavailable:
    """No claim could be made; the request must not run."""

    retry_after_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimDecided:
    """Decision on a claim.

    Only ``Claimed`` permits to run the request. With any other outcome the
    reservation is released.
    """

    reservation: str
    key_hash: str
    outcome: (
        claim_outcomes.Claimed
        | claim_outcomes.AlreadyClaimed
        | claim_outcomes.FingerprintMismatch
        | ClaimUnavailable
    )
