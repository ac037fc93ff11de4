"""Arrival of a request in the route bench."""

from __future__ import annotations

from typing import NamedTuple


class RouteArrival(NamedTuple):
    """One request of a caller.

    Attributes:
        at_s: Time in seconds.
        request: Id.
        router: Index of the router that the caller uses.
        tier: Tier.
        prompt_tokens: Tokens of the prompt.
        prefix: Hash of the leading prompt blocks.
        prefix_tokens: Tokens of these blocks.
        max_tokens: Bound of the answer.
        output_tokens: Length of the answer, not known to routers.
        repeatable: Whether it may run again.
        limit_s: Seconds from arrival to the deadline.
        crashes_engine: Whether it crashes the engine that runs it.
    """

    at_s: float
    request: str
    router: int
    tier: str
    prompt_tokens: int
    prefix: str
    prefix_tokens: int
    max_tokens: int
    output_tokens: int
    repeatable: bool
    limit_s: float
    crashes_engine: bool = False
