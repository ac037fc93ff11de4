"""One router's part of the slots of a brittle backend server."""

from __future__ import annotations


class SlotShare:
    """Slots of a server that a router has for itself, and what it lends.

    The parts of all routers add up to the server's slots, and a slot that is
    lent is not used by its owner, so the server has room for what they send.

    Attributes:
        own_slots: Slots that the router has for itself.
        holders: Number of routers that have a part.
    """

    def __init__(self) -> None:
        self.own_slots = 0
        self.holders = 1
        # Monotonic time in seconds by which the borrower has ended, by loan.
        self._loans: dict[str, float] = {}

    def lend(self, loan: str, until_s: float) -> None:
        """Lend a slot.

        Args:
            loan: Id of the loan.
            until_s: Monotonic time in seconds at which the slot comes back at
                the latest.
        """
        self._loans[loan] = until_s

    def take_back(self, loan: str) -> None:
        """Note that a loan has ended, if it has not yet."""
        self._loans.pop(loan, None)

    def is_lent(self, loan: str, now_s: float) -> bool:
        """Return whether a loan has not ended.

        Args:
            loan: Id of the loan.
            now_s: Monotonic time in seconds.
        """
        return self._loans.get(loan, now_s) > now_s

    def lent_slots(self, now_s: float) -> int:
        """Return how many slots are lent.

        Args:
            now_s: Monotonic time in seconds.
        """
        for loan in list(self._loans):
            if not self.is_lent(loan, now_s):
                del self._loans[loan]
        return len(self._loans)
