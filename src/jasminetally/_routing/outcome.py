"""Outcomes of refused requests."""

from __future__ import annotations

import enum


class Outcome(enum.Enum):
    """What a caller may conclude from a refusal.

    ``NOT_RUN`` is used only when no byte went to a backend server, or when
    every server that got bytes reported that it refused.
    """

    NOT_RUN = "not_run"
    RAN = "ran"
    UNKNOWN = "unknown"
