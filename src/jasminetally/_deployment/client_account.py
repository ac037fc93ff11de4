"""Client account with its keys and its prepaid tokens."""

from __future__ import annotations

from typing import NamedTuple


class ClientAccount(NamedTuple):
    """Client account with its keys and its prepaid tokens.

    Attributes:
        name: Name of the account.
        api_keys: Keys that authorise its requests.
        priority: Rank that replaces the route's, or None.
        prepaid_tokens: Tokens that it may consume in all, or None without a
            limit.
    """

    name: str
    api_keys: tuple[str, ...]
    priority: int | None
    prepaid_tokens: int | None
