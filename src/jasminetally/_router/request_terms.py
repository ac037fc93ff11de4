"""Terms under which one request is served."""

from __future__ import annotations

from typing import NamedTuple

from jasminetally._config import tier


class RequestTerms(NamedTuple):
    """Terms under which one request is served.

    Attributes:
        client_account: Name of the client account.
        budget: Budget that pays for the request.
        event: Name of the live event, or None.
        tier: Tier of the manifest.
        deadline_wall_s: Time by which the answer is due, seconds since 1970
            UTC.
        routing_tier: Tier of the routing policy for the tier of the manifest.
    """

    client_account: str
    budget: str
    event: str | None
    tier: tier.Tier
    deadline_wall_s: float
    routing_tier: str
