"""Effects that answer a reservation or its settlement."""

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
        isolated: Whether the tokens were taken from the isolated share, so
            that the run needs no journal entry.
    """

    reservation: str
    budget: str
    tokens: int
    grant: str
    isolated: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Refuse:
    """The request must not run.

    Attributes:
        reservation: Id of the reservation.
        reason: ``budget_exhausted``, ``platform_unavailable``,
            ``unknown_budget``, ``draining`` or ``fenced``.
        retry_after_s: Time after which the caller may retry, in seconds.
    """

    reservation: str
    reason: str
    retry_after_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Settled:
    """The usage is in the record; its journal entries can be dropped.

    Attributes:
        reservation: Id of the reservation.
        billed: Whether the usage was billed; False if it was booked as
            unbilled.
    """

    reservation: str
    billed: bool
