"""Client account."""

from __future__ import annotations

from typing import NamedTuple

from jasminetally._config import budget


class ClientAccount(NamedTuple):
    """Client account.

    Attributes:
        name: Name of the client account.
        key_hashes: SHA-256 of each accepted key, 64 lower-case hex digits.
        default_budget: Name of the budget for requests without an event.
        budgets: Budgets by name; the default budget is one of them.
    """

    name: str
    key_hashes: tuple[str, ...]
    default_budget: str
    budgets: dict[str, budget.Budget]
