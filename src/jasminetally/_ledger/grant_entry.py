"""Entry of one grant in a budget."""

from __future__ import annotations

from typing import NamedTuple

from jasminetally._ledger import pending_transfer


class GrantEntry(NamedTuple):
    """Tokens that one router incarnation may spend without another write.

    Attributes:
        holder: Incarnation that holds the grant.
        tokens: Tokens that are neither settled nor returned yet.
        converted_transfers: Transfer id -> tokens that the transfer moved from
            this grant to its receiver.
        converted_below: Every transfer of this grant with a lower number is
            converted. ``converted_transfers`` lists only the others, which
            bounds its size.
        isolated: Isolated share: tokens that the holder may spend while no
            peer acknowledges its journal. Recovery books them as unbilled
            because no peer can tell whether they were spent.
        closed: Whether recovery closed the grant. A closed grant has only the
            tokens of ``pending_transfers``.
        pending_transfers: Transfer id -> transfer that the holder gave before
            it died and that is not converted yet.
    """

    holder: str
    tokens: int
    converted_transfers: dict[str, int] = {}
    converted_below: int = 0
    isolated: int = 0
    closed: bool = False
    pending_transfers: dict[str, pending_transfer.PendingTransfer] = {}
