"""Entry of one transfer from the closed grant of a dead router."""

from __future__ import annotations

from typing import NamedTuple


class PendingTransfer(NamedTuple):
    """Transfer from a closed grant that is not converted yet.

    Attributes:
        receiver: Incarnation that the tokens were given to. It is recorded
            because it may die too, and the journals that name it may be lost
            with their routers.
        tokens: Tokens of the transfer.
    """

    receiver: str
    tokens: int
