"""Fault settings of a stand-in."""

from __future__ import annotations

from typing import NamedTuple


class FaultInjectionSettings(NamedTuple):
    """Faults that a stand-in injects.

    Attributes:
        seed: Seed of the random source.
        delay_s: Seconds added before each response.
        refuse_fraction: Part of the calls refused before any effect, 0 to 1.
        lose_reply_fraction: Part of the calls whose reply is lost after the
            call took effect, 0 to 1.
        silent_fraction: Part of the connections that go silent while they
            stay open, 0 to 1.
    """

    seed: int = 1
    delay_s: float = 0.0
    refuse_fraction: float = 0.0
    lose_reply_fraction: float = 0.0
    silent_fraction: float = 0.0
