"""Outcomes of a reservation of prepaid tokens."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True)
class Reserved:
    """The tokens are reserved.

    Attributes:
        source: Where the tokens came from, for the log: ``held`` by this
            router, ``taken`` from the owner, or ``unlimited``.
    """

    source: str


@dataclasses.dataclass(frozen=True)
class Exhausted:
    """The remaining prepaid tokens do not cover the request.

    Attributes:
        remaining: Tokens that are left and open to requests.
    """

    remaining: int


@dataclasses.dataclass(frozen=True)
class Unavailable:
    """The tokens can't be reserved now, but possibly later.

    Attributes:
        reason: Cause, for the log and the caller.
        retry_after_s: Seconds after which the caller may try again.
    """

    reason: str
    retry_after_s: float


Outcome = Reserved | Exhausted | Unavailable
