"""Service with its weight in a route's traffic split."""

from __future__ import annotations

from typing import NamedTuple


class WeightedService(NamedTuple):
    """Service with its weight in a route's traffic split.

    Attributes:
        service: Name of the service.
        weight: Share of the requests, relative to the sum of the weights of
            the route's services.
    """

    service: str
    weight: float
