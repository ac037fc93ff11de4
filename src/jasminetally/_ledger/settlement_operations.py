"""Operations that settle usage and convert transfers."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class SettleUsage:
    """Charge tokens that ran to a grant.

    Attributes:
        budget: Budget that pays.
        grant: Grant that the tokens were reserved from.
        key_hash: Hash of the idempotency key; None for requests without one.
        fingerprint: Hash of body, event and tier.
        tokens: Tokens to bill; booked as unbilled if the key is completed
            already.
        unbilled: Further tokens that ran and are not billed.
        server: Backend server of a claimed request, else empty.
        run: Id of the run, unique within the incarnation.
    """

    budget: str
    grant: str
    key_hash: str | None
    fingerprint: str
    tokens: int
    unbilled: int = 0
    server: str = ""
    run: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class ConvertTransfer:
    """Move the tokens of a transfer into a grant of the receiver.

    A transfer is converted once, by its id. Ids have the form
    ``<from_grant>/<number>`` with numbers counted from 0, so that the record
    need not keep every converted id (see ``GrantEntry.converted_below``).

    Attributes:
        budget: Budget of both grants.
        from_grant: Grant of the giver.
        transfer: Transfer id.
        to_grant: Grant of the receiver; created if it does not exist.
        holder: Incarnation of the receiver.
        tokens: Tokens of the transfer.
    """

    budget: str
    from_grant: str
    transfer: str
    to_grant: str
    holder: str
    tokens: int
