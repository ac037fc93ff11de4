"""What became of a query for the process behind a connection."""

from __future__ import annotations

import enum


class ReportOutcome(enum.Enum):
    """What became of a query for the process behind a connection."""

    # The process is known, and the connection can be used.
    IDENTIFIED = enum.auto()
    # The server has ended the connection; a new one may be identified.
    CLOSED = enum.auto()
    # No valid report arrived in time.
    FAILED = enum.auto()
