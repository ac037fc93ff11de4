"""Entry of one grant in a budget."""

from __future__ import annotations

from typing import NamedTuple

from jasminetally._ledger import kept_transfer


class GrantEntry(NamedTuple):
    """Tokens that one router incarnation may spend without asking.

    Attributes:
        holder: Incarnation that holds the grant.
        tokens: Tokens not yet settled or returned.
        transfers: Transfer id -> tokens already converted from this grant.
        converted_below: Every transfer of this grant with a lower number is
            converted; ``transfers`` lists only the others, which bounds it.
        isolated: Tokens that the holder may spend without a journal at a
            peer. Recovery books them as unbilled because no peer can tell
            whether they were spent.
        closed: Recovery closed the grant; only transfers in ``kept`` remain.
        kept: Transfer id -> transfer given away before the holder died and
            not yet converted.
    """

    holder: str
    tokens: int
    transfers: dict[str, int] = {}
    converted_below: int = 0
    isolated: int = 0
    closed: bool = False
    kept: dict[str, kept_transfer.KeptTransfer] = {}
