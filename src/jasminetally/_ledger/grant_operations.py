"""Operations that pay in, grant and return tokens."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class CreditTopUp:
    """Credit a top-up once, by its id; its tokens become free."""

    budget: str
    top_up: str
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class AddGrant:
    """Move free tokens into a new or existing grant of a holder.

    If fewer tokens are free, all of the free tokens are granted.

    Attributes:
        budget: Budget of the grant.
        grant: Grant to create or to extend.
        holder: Incarnation that holds the grant.
        tokens: Tokens to grant.
        isolated: New isolated share of the grant, in tokens.
    """

    budget: str
    grant: str
    holder: str
    tokens: int
    isolated: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class ReturnTokens:
    """Move tokens of a grant back to the free tokens of its budget.

    Attributes:
        budget: Budget of the grant.
        grant: Grant that the tokens are returned from.
        tokens: Tokens to return.
        close: Whether to remove the grant if it is empty afterwards.
    """

    budget: str
    grant: str
    tokens: int
    close: bool = False
