"""Operations of the recovery of a dead router."""

from __future__ import annotations

import dataclasses
from typing import NamedTuple

from jasminetally._ledger import kept_transfer


class BilledRun(NamedTuple):
    """Finished request found in the journal of a dead router.

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
class Reclaim:
    """Close the grant of a dead holder and fence the holder.

    Attributes:
        budget: Budget of the grant.
        grant: Grant to close.
        billed: Finished requests, billed by key.
        unbilled: Tokens of open requests: actual where known, else the bound.
        keep: Transfer id -> transfer that the holder gave: the notes that
            live receivers have, and those in its journal to dead receivers
            whose grants are not reclaimed yet. They stay in the closed grant
            until they are converted. Recovery of a receiver converts the
            transfers that the record keeps for it, and those that live givers
            or journals name, into the grant that it reclaims. A note that a
            live receiver has not got is left out, since it refuses the note
            from now on.

    A journal may still list runs whose settlement is in the record; those are
    skipped by run id, and the counts are limited to the grant's tokens. A write
    of the dead holder may still take effect after this one, so recovery looks
    again for grants of holders that are known to be dead. The remainder up to
    the grant's isolated share is booked as unbilled, the rest becomes free.
    """

    budget: str
    grant: str
    billed: tuple[BilledRun, ...] = ()
    unbilled: int = 0
    keep: dict[str, kept_transfer.KeptTransfer] = dataclasses.field(
        default_factory=dict
    )
