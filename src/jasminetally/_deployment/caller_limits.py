"""Limits on what callers may send."""

from __future__ import annotations

from typing import NamedTuple


class CallerLimits(NamedTuple):
    """Limits on what callers may send and how long they may take.

    Attributes:
        header_bytes: Largest request head.
        body_bytes: Largest request body.
        header_timeout_s: Seconds for a request head to arrive.
        idle_timeout_s: Seconds that a connection may be idle.
    """

    header_bytes: int
    body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float
