"""Operations that recover the grants of a dead router."""

from __future__ import annotations

import dataclasses
from typing import NamedTuple

from jasminetally._ledger import pending_transfer


class BillableRun(NamedTuple):
    """Finished run to bill, found in the journal of a dead router.

    Attributes:
        key_hash: Hash of the idempotency key; None for a request without one.
        fingerprint: Hash of body, event and tier; empty if not known.
        tokens: Tokens to bill.
        server: Backend server of a claimed request, else empty.
        run: Id of the run, unique within the incarnation.
    """

    key_hash: str | None
    fingerprint: str
    tokens: int
    server: str = ""
    run: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class ReclaimGrant:
    """Close the grant of a dead holder and fence the holder.

    Attributes:
        budget: Budget of the grant.
        grant: Grant to close.
        billable_runs: Finished runs, billed once for each idempotency key.
        unbilled: Tokens to book as unbilled: those of finished runs that are
            not billed, and those of runs without a known end (the actual
            tokens where they are known, else the reserved bound).
        pending_transfers: Transfer id -> transfer that the holder gave and
            that may still be converted: those whose note a live receiver has,
            and those in the holder's journal to dead receivers whose grants
            are not reclaimed yet. Their tokens stay in the closed grant until
            they are converted. Recovery of a receiver converts the transfers
            that the record keeps for it, and those that live givers or
            journals name, into the grant that it reclaims. A transfer whose
            note has not reached its live receiver is left out, because the
            receiver refuses the note from now on.

    A journal may still list runs whose settlement is in the record; those are
    skipped by run id, and the counts are limited to the grant's tokens. A write
    of the dead holder may still take effect after this one, so recovery looks
    again for grants of holders that are known to be dead. Of the remainder, up
    to the grant's isolated share is booked as unbilled and the rest becomes
    free.
    """

    budget: str
    grant: str
    billable_runs: tuple[BillableRun, ...] = ()
    unbilled: int = 0
    pending_transfers: dict[str, pending_transfer.PendingTransfer] = (
        dataclasses.field(default_factory=dict)
    )
