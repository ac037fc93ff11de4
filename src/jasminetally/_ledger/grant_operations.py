"""Operations that move tokens into and out of grants."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class CreditTopUp:
    """Credit a top-up once; ``tokens`` become free."""

    budget: str
    top_up: str
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class AddGrant:
    """Move free tokens into a new or existing grant of a holder.

    The grant is partial when fewer tokens are free. ``isolated`` replaces the
    grant's isolated share, in tokens.
    """

    budget: str
    grant: str
    holder: str
    tokens: int
    isolated: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class ReturnTokens:
    """Move tokens of a grant back to free; ``close`` removes it when empty."""

    budget: str
    grant: str
    tokens: int
    close: bool = False
