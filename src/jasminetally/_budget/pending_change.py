"""Change of the account record that waits for a confirmed write."""

from __future__ import annotations

import dataclasses

from jasminetally._ledger import claim_operations
from jasminetally._ledger import settlement_operations


@dataclasses.dataclass(eq=False, slots=True)
class PendingChange:
    """A queued change, compared by object identity.

    Several writes with an unknown outcome may contain the same change. It is
    removed from the queue when one of them is known to have taken effect.

    Attributes:
        operation: Operation on the record.
        reservation: Id of the reservation that the change belongs to; empty if
            there is none.
        tokens: Tokens that stay unsettled until the change is confirmed.
        isolated: Whether the tokens were taken from the isolated share.
        due_s: Time at which the change is written at the latest, monotonic
            seconds.
        expires_s: Time at which a claim is refused, monotonic seconds; None
            for other changes.
    """

    operation: (
        settlement_operations.SettleUsage
        | claim_operations.Claim
        | claim_operations.ReleaseClaim
        | claim_operations.MarkClaimUnknown
    )
    reservation: str
    tokens: int
    isolated: bool
    due_s: float
    expires_s: float | None = None
