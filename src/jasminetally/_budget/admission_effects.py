"""Effects that answer a reserve or a finish."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Admit:
    """The tokens are reserved; the request may run.

    Attributes:
        reservation: Id of the reservation.
        budget: Budget that pays.
        tokens: Tokens reserved.
        grant: Grant that the tokens are charged to, for the journal.
        isolated: Taken from the isolated share; needs no journal.
    """

    reservation: str
    budget: str
    tokens: int
    grant: str
    isolated: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Refuse:
    """The request must not run.

    ``reason`` is ``budget_exhausted``, ``platform_unavailable``,
    ``unknown_budget``, ``draining`` or ``fenced``.
    """

    reservation: str
    reason: str
    retry_after_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Settled:
    """The usage is durable; journal entries can be dropped.

    ``billed`` is False if it was booked as unbilled.
    """

    reservation: str
    billed: bool
