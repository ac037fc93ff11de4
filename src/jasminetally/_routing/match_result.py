"""Results of matching a chunk to an attempt."""

from __future__ import annotations

import enum


class MatchResult(enum.Enum):
    """Whether a chunk may go to the caller.

    ``LATE``: nobody waits for the attempt; ``CROSSED``: the chunk belongs to
    another attempt; ``OUT_OF_ORDER``: a chunk is missing or came twice.
    """

    IN_ORDER = "in_order"
    LATE = "late"
    CROSSED = "crossed"
    OUT_OF_ORDER = "out_of_order"
