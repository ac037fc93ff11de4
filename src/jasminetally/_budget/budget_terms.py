"""Budget as the configuration declares it."""

from __future__ import annotations

from typing import NamedTuple


class BudgetTerms(NamedTuple):
    """Configured top-ups of a budget.

    Attributes:
        top_ups: Tokens by top-up id.
    """

    top_ups: dict[str, int]
