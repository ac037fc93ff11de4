"""Part of a prompt that several requests may have in common."""

from __future__ import annotations

from typing import NamedTuple


class PromptPart(NamedTuple):
    """Part of a prompt that several requests may have in common.

    Attributes:
        part_id: Id of the part; parts with equal ids have equal tokens.
        tokens: Length of the part in tokens.
    """

    part_id: str
    tokens: int
