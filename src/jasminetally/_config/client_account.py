"""Client account declared in a manifest."""

from __future__ import annotations

from typing import NamedTuple

from jasminetally._config import budget


class ClientAccount(NamedTuple):
    """Client account with its API keys and prepaid budgets.

    Attributes:
        name: Name of the client account.
        key_hashes: SHA-256 of each accepted API key, 64 lower-case hex digits.
        default_budget: Name of the budget that pays for requests that name no
            event.
        budgets: Budgets by name, including the default budget.
    """

    name: str
    key_hashes: tuple[str, ...]
    default_budget: str
    budgets: dict[str, budget.Budget]
