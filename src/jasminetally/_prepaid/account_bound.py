"""Bound on what is handed out of one account's prepaid tokens."""

from __future__ import annotations

from typing import NamedTuple


class AccountBound(NamedTuple):
    """Bound on what is handed out, as of one write of a record.

    Attributes:
        base: Tokens that were handed out when the record was written.
        limit: Tokens that may be handed out in all.
        usable: Tokens that may be handed out in all at once.
        rate: Tokens by which this grows in a second, up to the limit.
        demand: Forecast demand in tokens/s, for the next home; 0 if unknown.
    """

    base: int
    limit: int
    usable: int
    rate: int
    demand: int = 0

    def usable_after(self, grown_s: float) -> int:
        """Return what may be handed out in all after seconds of growth."""
        grown = self.usable + int(self.rate * max(0.0, grown_s))
        return min(self.limit, grown)


# Bound of an account that no record names.
NOTHING = AccountBound(0, 0, 0, 0)
