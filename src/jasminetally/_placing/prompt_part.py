"""Part of a prompt that requests may share."""

from __future__ import annotations

from typing import NamedTuple


class PromptPart(NamedTuple):
    """Part of a prompt.

    Attributes:
        part: Id of the part; equal ids have equal tokens.
        tokens: Its length.
    """

    part: str
    tokens: int
