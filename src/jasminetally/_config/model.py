"""Language model declared in a manifest."""

from __future__ import annotations

from typing import NamedTuple


class Model(NamedTuple):
    """Language model.

    Attributes:
        name: Name by which callers request the model.
        context_tokens: Maximum of prompt and answer together, in tokens.
    """

    name: str
    context_tokens: int
