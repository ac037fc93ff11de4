"""Faults of the plain service stand-in."""

from __future__ import annotations

from typing import NamedTuple


class ServiceFaults(NamedTuple):
    """Faults that the service stand-in injects.

    Attributes:
        delay_s: Seconds that each call takes.
        lost_replies: The next calls, by count, run but their replies are lost.
        draining: Refuse new calls as not run.
    """

    delay_s: float = 0.0
    lost_replies: int = 0
    draining: bool = False
