"""Share of a route's requests that goes to a service."""

from __future__ import annotations

from typing import NamedTuple


class WeightedService(NamedTuple):
    """Service with its share of a route's requests.

    Attributes:
        service: Name of the service.
        weight: Share relative to the other services of the route.
    """

    service: str
    weight: float
