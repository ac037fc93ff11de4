"""Bound on the tokens handed out of one account's prepaid budget."""

from __future__ import annotations

from typing import NamedTuple


class AccountBound(NamedTuple):
    """Bound on the tokens handed out, as stored with a shard's record.

    The stored form is an array, so the order of the fields must not change.

    Attributes:
        granted: Total tokens handed out when the record was written.
        limit: Total tokens that may ever be handed out under the record.
        usable: Total tokens that may be handed out immediately.
        growth_rate: Tokens/s by which ``usable`` grows, up to ``limit``.
        demand: Forecast demand in tokens/s, from which the next owner starts;
            0 if unknown.
    """

    granted: int
    limit: int
    usable: int
    growth_rate: int
    demand: int = 0

    def usable_after_growth(self, growth_s: float) -> int:
        """Return the total tokens that may be handed out after some growth.

        Args:
            growth_s: Seconds for which ``usable`` has been growing; a negative
                value counts as 0.
        """
        usable = self.usable + int(self.growth_rate * max(0.0, growth_s))
        return min(self.limit, usable)


# Bound of an account that is missing from the record.
EMPTY_BOUND = AccountBound(0, 0, 0, 0)
