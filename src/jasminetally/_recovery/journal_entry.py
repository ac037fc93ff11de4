"""Entries of a router's journal."""

from __future__ import annotations

import msgspec


class JournalReserve(msgspec.Struct, frozen=True, array_like=True, tag="r"):
    """Tokens reserved for a run, before bytes go to a backend server.

    Attributes:
        run: Id of the run, unique within the incarnation.
        key_hash: Hash of the idempotency key; None for a request without one.
        fingerprint: Hash of body, event and tier.
        account: Client account.
        budget: Budget that pays.
        grant: Grant that the tokens are reserved from.
        tokens: Upper bound of the run, tokens.
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
    """Actual use of a run, before the end of its answer goes to the caller.

    Attributes:
        run: Id of the run.
        tokens: Tokens used, at most the reserved bound.
        billed: Whether they are billed; False for an abandoned run.
    """

    run: str
    tokens: int
    billed: bool = True


class JournalTransfer(msgspec.Struct, frozen=True, array_like=True, tag="t"):
    """Tokens given to another router, before the note goes out.

    Attributes:
        transfer: Id of the transfer, unique within the budget.
        account: Client account.
        budget: Budget of the grant.
        grant: Grant that gives.
        giver: Incarnation that gives.
        receiver: Incarnation that receives.
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
    """Return what an entry is about: its run or its transfer.

    All entries of one subject become durable together. Transfer ids are
    unique within one budget only.
    """
    match entry:
        case JournalTransfer():
            return f"{entry.account}/{entry.budget}/{entry.transfer}"
        case _:
            return entry.run
