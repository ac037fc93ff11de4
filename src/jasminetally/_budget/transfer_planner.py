"""Decisions about when to request tokens from peers."""

from __future__ import annotations

from jasminetally._budget import account_context
from jasminetally._budget import budget_state
from jasminetally._budget import refill_planner
from jasminetally._budget import transfer_effects
from jasminetally._budget import transfer_requests
from jasminetally._budget import write_pacer

# Wait of a request before peers are asked. A refill from the platform usually
# arrives within this time.
TRANSFER_DELAY_S = 0.03
# The same for a scarce budget. Routers return its unused tokens to the
# platform, so peers are asked only if the platform is too slow for that.
SCARCE_TRANSFER_DELAY_S = 0.4
# Limit of the tokens of one transfer request, in multiples of the largest
# recent bound. If more tokens are missing, a further request follows.
MAX_TRANSFER_BOUNDS = 2


class TransferPlanner:
    """Requests tokens from peers when a refill can't provide them in time."""

    def __init__(
        self,
        context: account_context.AccountContext,
        planner: refill_planner.RefillPlanner,
        pacer: write_pacer.WritePacer,
        requests: transfer_requests.TransferRequests,
    ) -> None:
        self._context = context
        self._planner = planner
        self._pacer = pacer
        self._requests = requests

    def request_tokens(
        self, state: budget_state.BudgetState, now_s: float
    ) -> list[transfer_effects.AskTransfer]:
        """Return the transfer request that is due for a budget, if any."""
        arrived_s = state.waiting.first_arrival_s()
        if arrived_s is None:
            self._requests.end_round(state.budget)
            return []
        shortfall = self._planner.shortfall_tokens(state)
        if not self._pacer.platform_down:
            delay_s = 0.0
            if shortfall <= self._context.grantable_tokens(state.budget):
                delay_s = TRANSFER_DELAY_S
            elif self._planner.is_scarce(state, now_s):
                delay_s = SCARCE_TRANSFER_DELAY_S
            if now_s - arrived_s < delay_s:
                return []
        bounds = int(state.forecast.largest_bound(now_s) * MAX_TRANSFER_BOUNDS)
        tokens = min(shortfall, max(bounds, state.waiting.smallest_bound()))
        return self._requests.ask_next_peer(state.budget, tokens, now_s)
