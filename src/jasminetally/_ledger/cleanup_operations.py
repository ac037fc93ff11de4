"""Operations that limit the size of an account record."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class PruneEntries:
    """Remove old request entries.

    Claimed and unknown requests are retained for at least a day, see
    ``recovery_transitions.CLAIM_RETENTION_S``.

    Attributes:
        before_wall_s: Wall clock time in seconds; entries whose last change
            was earlier are removed.
    """

    before_wall_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class RemoveWriter:
    """Remove the sequence number of a drained incarnation without grants."""

    incarnation: str
