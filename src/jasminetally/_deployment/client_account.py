"""Client account with its API keys and its prepaid tokens."""

from __future__ import annotations

from typing import NamedTuple


class ClientAccount(NamedTuple):
    """Client account with its API keys and its prepaid tokens.

    Attributes:
        name: Name of the account.
        api_keys: Keys that authorise requests of the account.
        priority: Priority of its requests, which overrides that of the route;
            0 is the most urgent. None uses the route's.
        prepaid_tokens: Tokens that the account may consume in total; None
            means no limit.
    """

    name: str
    api_keys: tuple[str, ...]
    priority: int | None
    prepaid_tokens: int | None
