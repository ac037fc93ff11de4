"""Payment into a budget."""

from __future__ import annotations

from typing import NamedTuple


class TopUp(NamedTuple):
    """Payment into a budget.

    Attributes:
        id: Identifier, unique in the budget. A top-up is credited once; after
            that it must not be changed or removed.
        tokens: Tokens paid in.
    """

    id: str
    tokens: int
