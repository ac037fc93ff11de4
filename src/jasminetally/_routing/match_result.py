"""Results of matching a chunk to an attempt."""

from __future__ import annotations

import enum


class MatchResult(enum.Enum):
    """Whether a chunk may be delivered to the caller.

    Attributes:
        IN_ORDER: It is the next chunk of the attempt's answer.
        LATE: The attempt is no longer open.
        CROSSED: The echoed id is that of another attempt.
        OUT_OF_ORDER: A chunk is missing or repeated.
    """

    IN_ORDER = "in_order"
    LATE = "late"
    CROSSED = "crossed"
    OUT_OF_ORDER = "out_of_order"
