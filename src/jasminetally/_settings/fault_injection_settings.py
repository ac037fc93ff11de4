"""Settings for the faults that a stand-in injects."""

from __future__ import annotations

from typing import NamedTuple


class FaultInjectionSettings(NamedTuple):
    """Settings for the faults that a stand-in injects.

    Attributes:
        seed: Seed of the random number generator.
        delay_s: Delay added before each response, in seconds.
        refuse_fraction: Fraction of the calls that are refused before they
            have any effect, 0 to 1.
        lose_reply_fraction: Fraction of the calls that take effect but whose
            reply is lost, 0 to 1.
        silent_fraction: Fraction of the connections that stay open but no
            longer transfer data, 0 to 1.
    """

    seed: int = 1
    delay_s: float = 0.0
    refuse_fraction: float = 0.0
    lose_reply_fraction: float = 0.0
    silent_fraction: float = 0.0
