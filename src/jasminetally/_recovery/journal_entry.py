"""Entries of a router's journal."""

from __future__ import annotations

import msgspec


class JournalReserve(msgspec.Struct, frozen=True, array_like=True, tag="r"):
    """Tokens that are reserved for a run.

    Appended before bytes go to a backend server, so that recovery knows every
    run that may have used tokens.

    Attributes:
        run: Id of the run, unique within the incarnation.
        key_hash: Hash of the idempotency key; None for a request without one.
        fingerprint: Hash of body, event and tier.
        account: Client account.
        budget: Budget that pays.
        grant: Grant that the tokens are reserved from.
        tokens: Reserved tokens, the upper bound of what the run may use.
        server: Backend server of the run.
        claimed: Whether the request was claimed because it may run only once.
    """

    run: str
    key_hash: str | None
    fingerprint: str
    account: str
    budget: str
    grant: str
    tokens: int
    server: str
    claimed: bool = False


class JournalFinish(msgspec.Struct, frozen=True, array_like=True, tag="f"):
    """Tokens that a finished run used.

    Appended before the end of the answer goes to the caller.

    Attributes:
        run: Id of the run.
        tokens: Tokens used, at most the reserved bound.
        billed: Whether they are billed; False for an abandoned run.
    """

    run: str
    tokens: int
    billed: bool = True


class JournalTransfer(msgspec.Struct, frozen=True, array_like=True, tag="t"):
    """Tokens that are given to another router.

    Appended before the transfer note is sent.

    Attributes:
        transfer: Id of the transfer, unique within the budget.
        account: Client account.
        budget: Budget of the grant.
        grant: Grant that the tokens are taken from.
        giver: Incarnation that gives the tokens.
        receiver: Incarnation that receives the tokens.
        tokens: Tokens given.
    """

    transfer: str
    account: str
    budget: str
    grant: str
    giver: str
    receiver: str
    tokens: int


JournalEntry = JournalReserve | JournalFinish | JournalTransfer


def subject_of(entry: JournalEntry) -> str:
    """Return an id of the run or transfer that an entry belongs to.

    All entries of one run or transfer become durable together. The id of a
    transfer includes account and budget, because transfer ids are unique
    within one budget only.
    """
    match entry:
        case JournalTransfer():
            return f"{entry.account}/{entry.budget}/{entry.transfer}"
        case _:
            return entry.run
