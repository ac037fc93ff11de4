"""Slot of a brittle backend server that another router has lent."""

from __future__ import annotations

from typing import NamedTuple

from jasminetally._placing import server_record


class BorrowedSlot(NamedTuple):
    """Slot of a brittle backend server that another router has lent.

    Attributes:
        loan: Id of the loan.
        lender: Incarnation of the router that has lent it.
        record: Record of the server.
    """

    loan: str
    lender: str
    record: server_record.ServerRecord
