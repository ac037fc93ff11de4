"""Top-up of a budget during a bench run."""

from __future__ import annotations

from typing import NamedTuple


class TopUp(NamedTuple):
    """Top-up of a budget.

    Attributes:
        top_up: Id of the top-up.
        account: Client account.
        budget: Budget that it is credited to.
        tokens: Tokens credited.
        at_s: Virtual time in seconds at which the operator applies it.
    """

    top_up: str
    account: str
    budget: str
    tokens: int
    at_s: float
