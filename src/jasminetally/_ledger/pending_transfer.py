"""Transfer that outlives the grant of its dead giver."""

from __future__ import annotations

from typing import NamedTuple


class PendingTransfer(NamedTuple):
    """Tokens given to a receiver that has not converted them yet.

    The receiver is recorded because it may die too, together with the
    journals that name it.
    """

    receiver: str
    tokens: int
