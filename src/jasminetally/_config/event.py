"""Live event with a fixed start time."""

from __future__ import annotations

from typing import NamedTuple


class Event(NamedTuple):
    """Live event with a fixed start time.

    Attributes:
        name: Name, unique over all client accounts.
        client_account: Client account that the event belongs to.
        budget: Budget of that client account which pays for it.
        start_s: Start, seconds since 1970-01-01 UTC.
        default_tier: Tier of a request that names none.
    """

    name: str
    client_account: str
    budget: str
    start_s: float
    default_tier: str
