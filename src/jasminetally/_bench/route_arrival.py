"""Request of the route bench."""

from __future__ import annotations

from typing import NamedTuple


class RouteArrival(NamedTuple):
    """One request of a caller in the route bench.

    Attributes:
        at_s: Arrival in virtual seconds.
        request: Id of the request.
        router: Index of the router that the caller uses.
        tier: Name of the tier.
        prompt_tokens: Tokens of the prompt.
        prefix: Hash of the leading prompt blocks.
        prefix_tokens: Tokens of these blocks.
        max_tokens: Upper bound of the answer's tokens.
        output_tokens: Tokens of the answer; routers don't know them.
        repeatable: Whether it may run more than once.
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
