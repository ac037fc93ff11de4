"""Messages about transfers of tokens between routers."""

from __future__ import annotations

from typing import NamedTuple


class TransferAsk(NamedTuple):
    """Question for tokens.

    Attributes:
        ask: Id ``<receiver>/<number>``; numbers increase, a repeated question
            has the same id.
        account: Client account.
        budget: Budget of the tokens.
        tokens: Tokens wanted.
        receiver: Incarnation that asks.
    """

    ask: str
    account: str
    budget: str
    tokens: int
    receiver: str


class TransferNote(NamedTuple):
    """Answer to a question; a note with tokens may be spent at once.

    Attributes:
        transfer: Id ``<from_grant>/<number>``; empty if nothing is given.
        account: Client account.
        budget: Budget of the tokens.
        from_grant: Grant that holds the tokens until they are converted.
        giver: Incarnation that gives.
        receiver: Incarnation that receives.
        tokens: Tokens given; 0 if there are none to give.
        ask: Id of the question.
    """

    transfer: str
    account: str
    budget: str
    from_grant: str
    giver: str
    receiver: str
    tokens: int
    ask: str
