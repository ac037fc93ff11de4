"""Change that waits for a confirmed write."""

from __future__ import annotations

import dataclasses

from jasminetally._ledger import claim_operations
from jasminetally._ledger import settlement_operations


@dataclasses.dataclass(eq=False, slots=True)
class PendingChange:
    """A change, identified by the object itself.

    Several writes with unknown outcome may contain it; whichever takes effect
    removes it from the queue.

    Attributes:
        operation: Operation on the record.
        reservation: Reservation that it belongs to.
        tokens: Tokens that stay unsettled until it is confirmed.
        isolated: The tokens were taken from the isolated share.
        due_s: Latest time to write it, monotonic seconds.
        expires_s: A claim is given up at this time; None for other changes.
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
