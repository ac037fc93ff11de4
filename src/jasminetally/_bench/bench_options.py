"""Options shared by all benches."""

from __future__ import annotations

from typing import NamedTuple


class BenchOptions(NamedTuple):
    """Options of one bench run.

    Attributes:
        seed: Seed of the random source; the same seed gives the same figures
            in every virtual-time bench.
        deployment: ``zadruga`` or ``pieghevole``.
        streams: Open streams in the relay bench.
    """

    seed: int = 1
    deployment: str = "zadruga"
    streams: int = 150
