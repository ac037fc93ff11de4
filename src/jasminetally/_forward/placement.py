"""Servers that may run a request."""

from __future__ import annotations

from typing import NamedTuple

from jasminetally._forward import borrowed_slot
from jasminetally._placing import ranked_server


class Placement(NamedTuple):
    """Servers that may run a request.

    Attributes:
        ranked: The servers, the best first.
        slot: Slot that another router has lent for it; None if it needs none.
    """

    ranked: list[ranked_server.RankedServer]
    slot: borrowed_slot.BorrowedSlot | None
