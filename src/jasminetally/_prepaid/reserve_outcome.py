"""Outcomes of a reservation of prepaid tokens."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True)
class Reserved:
    """The tokens are reserved.

    Attributes:
        source: Where they came from, for the log.
    """

    source: str


@dataclasses.dataclass(frozen=True)
class Exhausted:
    """What is left of the prepaid tokens does not cover the request.

    Attributes:
        remaining: Tokens that are left.
    """

    remaining: int


@dataclasses.dataclass(frozen=True)
class Unavailable:
    """The tokens can't be had now.

    Attributes:
        reason: Why, for the log and the caller.
        retry_after_s: Seconds after which to try again.
    """

    reason: str
    retry_after_s: float


Outcome = Reserved | Exhausted | Unavailable
