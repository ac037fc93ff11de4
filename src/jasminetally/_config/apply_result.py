"""Result of a run of ``apply``."""

from __future__ import annotations

import enum
from typing import NamedTuple


class ApplyOutcome(enum.Enum):
    """Outcome of a run of ``apply``; the values are printed to the operator.

    Attributes:
        RECORDED: The manifest is stored.
        LOST_RACE: Another manifest was recorded on top of the same revision
            first.
        REJECTED: The manifest doesn't fit the recorded configuration, or one
            of the two can't be stored or decoded.
        NOT_APPLIED: Nothing was written.
        UNKNOWN: The write may have taken effect.
    """

    RECORDED = "recorded"
    LOST_RACE = "lost race"
    REJECTED = "rejected"
    NOT_APPLIED = "not applied"
    UNKNOWN = "unknown"


class ApplyResult(NamedTuple):
    """Result of a run of ``apply``.

    Attributes:
        outcome: Outcome of the run.
        revision: Recorded revision; 0 if it is not known.
        lines: Explanation for the operator, one sentence each.
    """

    outcome: ApplyOutcome
    revision: int
    lines: tuple[str, ...]
