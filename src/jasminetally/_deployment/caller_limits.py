"""Limits on what callers may send."""

from __future__ import annotations

from typing import NamedTuple


class CallerLimits(NamedTuple):
    """Limits on what callers may send and how long they may take.

    Attributes:
        max_header_bytes: Largest request head.
        max_body_bytes: Largest request body.
        header_timeout_s: Seconds for a request head to arrive.
        idle_timeout_s: Seconds that a connection may be idle.
    """

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float
