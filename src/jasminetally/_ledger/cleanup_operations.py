"""Operations that bound the size of an account record."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class PruneEntries:
    """Drop request entries last changed before a wall clock time, in s."""

    before_wall_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class RemoveWriter:
    """Drop the sequence number of a drained incarnation without grants."""

    incarnation: str
