"""Addresses for callers."""

from __future__ import annotations

from typing import NamedTuple


class Addresses(NamedTuple):
    """Addresses for callers, best first.

    Attributes:
        addresses: IP numbers with ports of ready routers.
        max_age_s: Seconds that a caller may keep them.
    """

    addresses: tuple[str, ...]
    max_age_s: float
