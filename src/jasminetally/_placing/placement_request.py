"""What the placement of a request depends on."""

from __future__ import annotations

from typing import NamedTuple

from jasminetally._placing import prompt_part


class PlacementRequest(NamedTuple):
    """What the placement of a request depends on.

    Attributes:
        service: Service that runs it.
        parts: Its prompt in order; the last part is its own. Empty for plain
            services.
        prompt_tokens: Length of the prompt.
        excluded: Servers that have failed or refused it.
    """

    service: str
    parts: tuple[prompt_part.PromptPart, ...]
    prompt_tokens: int
    excluded: frozenset[str]
