"""Outcomes of operations on grants, and of recovery and cleanup."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Granted:
    """The operation took effect.

    Attributes:
        tokens: Tokens moved, which may be fewer than requested; the tokens
            freed by ``ReclaimGrant``. Not a number of tokens for
            ``PruneEntries`` (request entries to remove) and ``RemoveWriter``
            (always 0).
    """

    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class GrantClosed:
    """The operation can't use the grant; nothing was changed.

    The grant was reclaimed, does not exist or has another holder.
    """

    grant: str


@dataclasses.dataclass(frozen=True, slots=True)
class Unchanged:
    """The operation changed nothing.

    It was applied earlier, or it does not apply to the record's state.
    """
