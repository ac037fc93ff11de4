"""Exit codes of the commands for operators."""

from __future__ import annotations

import enum


class ExitCode(enum.IntEnum):
    """Exit codes of the commands for operators.

    Attributes:
        OK: The command did what it was asked to do.
        FAILED: The command could not be carried out, for instance because the
            platform was unreachable.
        INVALID_INPUT: Wrong usage, an invalid or unreadable file, or a
            manifest or stored configuration that was rejected.
        NOT_IN_FORCE: The manifest is recorded; some router, or all, may not
            have confirmed it yet.
        LOST_RACE: Another manifest was recorded on top of the same revision
            first.
    """

    OK = 0
    FAILED = 1
    INVALID_INPUT = 2
    NOT_IN_FORCE = 3
    LOST_RACE = 4
