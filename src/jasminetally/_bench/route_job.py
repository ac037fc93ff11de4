"""Request on an engine of the route bench."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(slots=True, eq=False)
class RouteJob:
    """Stream that an engine runs.

    Attributes:
        router: Index of the router that receives the chunks.
        attempt: Attempt whose connection is open; it is echoed.
        stream: Id for a resume.
        request: Request.
        priority: Lower numbers run first.
        prompt_tokens: Tokens of the prompt.
        prefix: Hash of the leading prompt blocks.
        prefix_tokens: Tokens of these blocks.
        output_tokens: Tokens of the answer.
        crashes_engine: Whether it crashes the engine.
        produced: Tokens produced.
        chunks: Tokens of each chunk produced.
        silent: Whether its connection delivers nothing any more.
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
