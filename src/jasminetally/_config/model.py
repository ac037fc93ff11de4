"""Language model."""

from __future__ import annotations

from typing import NamedTuple


class Model(NamedTuple):
    """Language model.

    Attributes:
        name: Name that callers use.
        context_tokens: Largest sum of prompt and answer, in tokens.
    """

    name: str
    context_tokens: int
