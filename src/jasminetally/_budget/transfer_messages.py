"""Messages about transfers of tokens between routers."""

from __future__ import annotations

from typing import NamedTuple


class TransferRequest(NamedTuple):
    """Request of a router to a peer for tokens of a budget.

    Attributes:
        request_id: Id ``<receiver>/<number>``. Numbers increase; a repeated
            request keeps its id.
        account: Client account.
        budget: Budget of the tokens.
        tokens: Tokens requested.
        receiver: Incarnation that requests the tokens.
    """

    request_id: str
    account: str
    budget: str
    tokens: int
    receiver: str


class TransferReply(NamedTuple):
    """Reply to a ``TransferRequest``, with or without tokens.

    The receiver may use the tokens at once, before a write moves them to its
    own grant.

    Attributes:
        transfer: Transfer id ``<from_grant>/<number>``; empty if no tokens are
            transferred.
        account: Client account.
        budget: Budget of the tokens.
        from_grant: Grant that holds the tokens until the transfer is
            converted.
        giver: Incarnation that transfers the tokens.
        receiver: Incarnation that requested them.
        tokens: Tokens transferred; 0 if the giver has none to transfer.
        request_id: Id of the request.
    """

    transfer: str
    account: str
    budget: str
    from_grant: str
    giver: str
    receiver: str
    tokens: int
    request_id: str
