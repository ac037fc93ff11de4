"""Exit codes of the operators' commands."""

from __future__ import annotations

import enum


class ExitCode(enum.IntEnum):
    """Exit codes of the operators' commands."""

    OK = 0
    FAILED = 1
    INVALID_INPUT = 2
    NOT_IN_FORCE = 3
    LOST_RACE = 4
