"""Result of a run of ``apply``."""

from __future__ import annotations

import enum
from typing import NamedTuple


class ApplyOutcome(enum.Enum):
    """What became of a manifest."""

    RECORDED = "recorded"
    LOST_RACE = "lost race"
    REJECTED = "rejected"
    NOT_APPLIED = "not applied"
    UNKNOWN = "unknown"


class ApplyResult(NamedTuple):
    """Result of a run of ``apply``.

    Attributes:
        outcome: What became of the manifest.
        revision: Revision that is recorded, as far as known.
        lines: What the operator has to know, one sentence each.
    """

    outcome: ApplyOutcome
    revision: int
    lines: tuple[str, ...]
