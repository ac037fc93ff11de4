"""Properties of a request that the choice of its server depends on."""

from __future__ import annotations

from typing import NamedTuple

from jasminetally._placing import prompt_part
from jasminetally._placing import server_process


class PlacementRequest(NamedTuple):
    """Properties of a request that the choice of its server depends on.

    Attributes:
        service: Service that runs the request.
        prompt_parts: Parts of the prompt in order. Only the last part is
            specific to the request. Empty for plain services.
        prompt_tokens: Length of the whole prompt in tokens.
        excluded_server_ids: Servers that have failed or refused the request.
        version: Software version that the server must have; None for any.
        process: The only process that may run the request; None for any.
    """

    service: str
    prompt_parts: tuple[prompt_part.PromptPart, ...]
    prompt_tokens: int
    excluded_server_ids: frozenset[str]
    version: str | None = None
    process: server_process.ServerProcess | None = None
