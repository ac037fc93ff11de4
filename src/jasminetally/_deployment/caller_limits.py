"""Limits on callers' connections and requests."""

from __future__ import annotations

from typing import NamedTuple


class CallerLimits(NamedTuple):
    """Limits on the size and duration of what callers send.

    Attributes:
        max_header_bytes: Largest request head, in bytes.
        max_body_bytes: Largest request body, in bytes.
        header_timeout_s: Seconds within which a request head must arrive.
        idle_timeout_s: Seconds after which an idle connection is closed.
    """

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float
