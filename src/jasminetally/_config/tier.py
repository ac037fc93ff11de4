"""Service tier declared in a manifest."""

from __future__ import annotations

from typing import Literal
from typing import NamedTuple


class Tier(NamedTuple):
    """Service tier.

    Attributes:
        name: Name of the tier.
        priority: Priority at the engines; requests with a higher number run
            first.
        limit_s: Seconds within which the whole answer has to be complete.
        default_max_tokens: Maximum length of the answer, in tokens, if the
            request sets none.
        kind: ``live`` requests take precedence over ``overnight`` ones.
    """

    name: str
    priority: int
    limit_s: float
    default_max_tokens: int
    kind: Literal["live", "overnight"]
