"""Service tier."""

from __future__ import annotations

from typing import Literal
from typing import NamedTuple


class Tier(NamedTuple):
    """Service tier.

    Attributes:
        name: Name of the tier.
        priority: Priority at the engines; a higher number goes first.
        limit_s: Seconds within which the whole answer has to be there.
        default_max_tokens: Limit of the answer when the request sets none.
        kind: Live work takes precedence over overnight work.
    """

    name: str
    priority: int
    limit_s: float
    default_max_tokens: int
    kind: Literal["live", "overnight"]
