"""Message to the actor of the budgets."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

if TYPE_CHECKING:
    from collections.abc import Callable

    from jasminetally._budget import effect
    from jasminetally._budget import manager


class BudgetCall(NamedTuple):
    """Call of one method of an account's manager.

    Attributes:
        account: Client account.
        invoke: Calls the method with the time; returns its effects.
        reservation: Reservation whose effects go to ``on_effect``.
        on_effect: Takes effects in the actor's thread; must not block.
    """

    account: str
    invoke: Callable[[manager.BudgetManager, float], list[effect.Effect]]
    reservation: str | None = None
    on_effect: Callable[[effect.Effect], None] | None = None
