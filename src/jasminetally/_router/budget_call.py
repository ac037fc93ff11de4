"""Message that calls a budget manager."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

if TYPE_CHECKING:
    from collections.abc import Callable

    from jasminetally._budget import effect
    from jasminetally._budget import manager


class BudgetCall(NamedTuple):
    """Call of a method of the budget manager of one client account.

    Attributes:
        account: Client account.
        invoke: Calls the method with the manager and the monotonic time in
            seconds; returns its effects.
        reservation: Reservation whose effects go to ``on_effect``.
        on_effect: Receives effects in the actor's thread; must not block.
    """

    account: str
    invoke: Callable[[manager.BudgetManager, float], list[effect.Effect]]
    reservation: str | None = None
    on_effect: Callable[[effect.Effect], None] | None = None
