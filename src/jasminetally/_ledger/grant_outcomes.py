"""Outcomes of operations on grants."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Granted:
    """Tokens were moved; ``tokens`` may be fewer than asked for."""

    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class GrantClosed:
    """The grant was reclaimed or does not exist; nothing was changed."""

    grant: str


@dataclasses.dataclass(frozen=True, slots=True)
class Unchanged:
    """The operation had no effect: done earlier, or nothing to do."""
