"""Live event declared in a manifest."""

from __future__ import annotations

from typing import NamedTuple


class Event(NamedTuple):
    """Live event of a client account, with a fixed start time.

    Attributes:
        name: Name, unique over all client accounts.
        client_account: Client account that the event belongs to.
        budget: Budget of that client account that pays for its requests.
        start_s: Start time, seconds since 1970-01-01 UTC.
        default_tier: Service tier of requests that name none.
    """

    name: str
    client_account: str
    budget: str
    start_s: float
    default_tier: str
