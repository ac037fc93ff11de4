"""Options shared by all benches."""

from __future__ import annotations

from typing import NamedTuple


class BenchOptions(NamedTuple):
    """Options of one bench run.

    Attributes:
        seed: Seed of the random generators. Benches in virtual time give the
            same figures for the same seed.
        deployment: Name of the simulated deployment, ``zadruga`` or
            ``pieghevole``.
        streams: Number of concurrent streams in the relay bench.
    """

    seed: int = 1
    deployment: str = "zadruga"
    streams: int = 150
