"""Prepaid budget of a client account."""

from __future__ import annotations

from typing import NamedTuple

from jasminetally._config import top_up


class Budget(NamedTuple):
    """Prepaid budget of a client account.

    Attributes:
        name: Name, unique in its client account.
        top_ups: Payments into the budget.
    """

    name: str
    top_ups: tuple[top_up.TopUp, ...]

    @property
    def paid_in(self) -> int:
        """Sum of all top-ups, in tokens."""
        return sum(paid.tokens for paid in self.top_ups)
