"""Router addresses that are returned to callers."""

from __future__ import annotations

from typing import NamedTuple


class Addresses(NamedTuple):
    """Router addresses that are returned to callers, preferred ones first.

    Attributes:
        addresses: IP address and port of each ready router.
        max_age_s: Seconds for which a caller may cache the addresses.
    """

    addresses: tuple[str, ...]
    max_age_s: float
