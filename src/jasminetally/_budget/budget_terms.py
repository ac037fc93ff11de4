"""Terms of a budget in the configuration."""

from __future__ import annotations

from typing import NamedTuple


class BudgetTerms(NamedTuple):
    """Top-ups of a budget: id -> tokens."""

    top_ups: dict[str, int]
