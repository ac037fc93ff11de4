"""Request that runs on an engine of the route bench."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(slots=True, eq=False)
class RouteJob:
    """Request and its stream on an engine.

    Attributes:
        router: Index of the router that receives the chunks.
        attempt: Id of the attempt whose connection is open; every chunk
            carries it.
        stream: Id by which the stream can be resumed.
        request: Id of the request.
        priority: Lower numbers run first.
        prompt_tokens: Tokens of the prompt.
        prefix: Hash of the leading prompt blocks.
        prefix_tokens: Tokens of these blocks.
        output_tokens: Tokens of the answer.
        crashes_engine: Whether it crashes the engine.
        produced: Number of tokens produced so far.
        chunks: Number of tokens of each chunk produced so far.
        silent: Whether its connection no longer delivers anything.
        hit: Whether its prefix was cached.
    """

    router: int
    attempt: str
    stream: str
    request: str
    priority: int
    prompt_tokens: int
    prefix: str
    prefix_tokens: int
    output_tokens: int
    crashes_engine: bool
    produced: int = 0
    chunks: list[int] = dataclasses.field(default_factory=list)
    silent: bool = False
    hit: bool = False
