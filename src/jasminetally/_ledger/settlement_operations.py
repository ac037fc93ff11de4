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
        tokens: Tokens to bill; booked as unbilled if the key is completed.
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
    """Move tokens given by ``from_grant`` into a grant of the receiver.

    A transfer id converts once. Ids have the form ``<from_grant>/<number>``
    with numbers counted from 0, so that converted ids can be forgotten.
    """

    budget: str
    from_grant: str
    transfer: str
    to_grant: str
    holder: str
    tokens: int
