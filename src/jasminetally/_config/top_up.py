"""Payment into a budget."""

from __future__ import annotations

from typing import NamedTuple


class TopUp(NamedTuple):
    """Payment into a budget.

    Attributes:
        id: Name of the payment; credited once, never changed or removed.
        tokens: Tokens paid in.
    """

    id: str
    tokens: int
