"""Decisions when to ask peers for tokens."""

from __future__ import annotations

from jasminetally._budget import account_context
from jasminetally._budget import budget_state
from jasminetally._budget import refill_planner
from jasminetally._budget import transfer_asks
from jasminetally._budget import transfer_effects
from jasminetally._budget import write_pacer

# A refill usually arrives within this time; after it, peers are asked too.
ASK_DELAY_S = 0.03
# Scarce tokens are returned by routers that do not need them; peers are asked
# only if the platform is too slow for that.
SCARCE_ASK_DELAY_S = 0.4
# Tokens asked for at once, in largest bounds; a longer queue asks again.
ASK_BOUNDS = 2


class AskPlanner:
    """Asks peers for tokens that a refill can't bring in time."""

    def __init__(
        self,
        context: account_context.AccountContext,
        planner: refill_planner.RefillPlanner,
        pacer: write_pacer.WritePacer,
        asks: transfer_asks.TransferAsks,
    ) -> None:
        self._context = context
        self._planner = planner
        self._pacer = pacer
        self._asks = asks

    def ask(
        self, state: budget_state.BudgetState, now_s: float
    ) -> list[transfer_effects.AskTransfer]:
        """Return the questions that are due for a budget."""
        arrived_s = state.waiting.first_arrival_s()
        if arrived_s is None:
            self._asks.end_round(state.budget)
            return []
        shortfall = self._planner.shortfall(state)
        if not self._pacer.down:
            delay_s = 0.0
            if shortfall <= self._context.available(state.budget):
                delay_s = ASK_DELAY_S
            elif self._planner.is_scarce(state, now_s):
                delay_s = SCARCE_ASK_DELAY_S
            if now_s - arrived_s < delay_s:
                return []
        bounds = int(state.forecast.largest_bound(now_s) * ASK_BOUNDS)
        wanted = min(shortfall, max(bounds, state.waiting.smallest()))
        return self._asks.ask_next(state.budget, wanted, now_s)
