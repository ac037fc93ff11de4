"""Data centres whose backend servers get no requests."""

from __future__ import annotations

from typing import NamedTuple


class Evacuations(NamedTuple):
    """What a router knows about evacuated data centres at one moment.

    Routers send these to each other, so the order of the fields is fixed.

    Attributes:
        era: Era of the store; 0 if it has none.
        version: Version of the store up to which the names are complete.
        data_centres: Names of the evacuated data centres, sorted.
    """

    era: int
    version: int
    data_centres: tuple[str, ...]

    def is_newer_than(self, other: Evacuations | None) -> bool:
        """Return whether this view replaces another one."""
        return other is None or self[:2] > other[:2]
