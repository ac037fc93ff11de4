"""Sizes of the refills and returns of grants."""

from __future__ import annotations

from jasminetally._budget import account_context
from jasminetally._budget import budget_state
from jasminetally._budget import write_pacer

# A write that is made for another reason also refills a grant whose usable
# tokens are below this fraction of the target.
PIGGYBACK_REFILL_FRACTION = 0.7


class RefillPlanner:
    """Decides how many tokens a router requests and how many it returns."""

    def __init__(
        self,
        context: account_context.AccountContext,
        pacer: write_pacer.WritePacer,
    ) -> None:
        self._context = context
        self._pacer = pacer

    def is_scarce(self, state: budget_state.BudgetState, now_s: float) -> bool:
        """Return whether the budget is scarce.

        The unused tokens of a scarce budget stay at the platform, see
        ``GrantPolicy.scarce_bounds``. While the platform is unavailable no
        budget counts as scarce.
        """
        context = self._context
        if self._pacer.platform_down or not context.view.known:
            return False
        bound = state.forecast.largest_bound(now_s)
        least = context.policy.scarce_bounds * context.router_count * bound
        return context.max_remaining_tokens(state.budget) < least

    def target_tokens(
        self, state: budget_state.BudgetState, now_s: float
    ) -> int:
        """Return the usable tokens that this router should have.

        The divisor makes grants shrink near the end of a budget, so that the
        last tokens are not held by routers that do not need them.
        """
        policy = self._context.policy
        if now_s - state.forecast.last_demand_s > policy.idle_return_s:
            return 0
        if self.is_scarce(state, now_s):
            return 0
        demand = max(
            state.forecast.rate(now_s) * policy.forecast_horizon_s,
            state.forecast.largest_bound(now_s) * policy.min_target_bounds,
        )
        available = self._context.grantable_tokens(state.budget)
        share = available / (policy.free_divisor * self._context.router_count)
        return int(min(demand, share))

    def shortfall_tokens(self, state: budget_state.BudgetState) -> int:
        """Return the tokens that are missing for all waiting requests."""
        if not len(state.waiting):
            return 0
        return max(0, state.waiting.tokens - max(0, state.usable))

    def is_refill_urgent(
        self, state: budget_state.BudgetState, now_s: float
    ) -> bool:
        """Return whether a write could bring tokens for a waiting request."""
        if not self.shortfall_tokens(state):
            return False
        if self.is_scarce(state, now_s):
            return self._grantable_shortfall(state) > 0
        return self._context.grantable_tokens(state.budget) > 0

    def _grantable_shortfall(self, state: budget_state.BudgetState) -> int:
        """Return the missing tokens that the platform can grant.

        Only the waiting requests that the usable and grantable tokens cover
        count.
        """
        usable = max(0, state.usable)
        obtainable = usable + self._context.grantable_tokens(state.budget)
        return max(0, state.waiting.fitting_tokens(obtainable) - usable)

    def is_refill_due(
        self, state: budget_state.BudgetState, now_s: float
    ) -> bool:
        """Return whether the grant should be refilled ahead of the demand."""
        if self._context.draining or now_s < state.refill_after_s:
            return False
        target = self.target_tokens(state, now_s)
        fraction = self._context.policy.refill_fraction
        return state.usable < target * fraction

    def refill_tokens(
        self, state: budget_state.BudgetState, now_s: float
    ) -> int:
        """Return the tokens to request in a write that is made now."""
        if self._context.draining:
            return self.shortfall_tokens(state)
        if self.is_scarce(state, now_s):
            return self._grantable_shortfall(state)
        target = self.target_tokens(state, now_s)
        wanted = self.shortfall_tokens(state)
        if state.usable < target * PIGGYBACK_REFILL_FRACTION:
            wanted += target - max(0, state.usable)
        return min(wanted, self._context.grantable_tokens(state.budget))

    def plan_isolated_share(
        self, state: budget_state.BudgetState, tokens: int, now_s: float
    ) -> int:
        """Return the isolated share to set in a write.

        Args:
            state: State of the budget.
            tokens: Tokens of the grant after the write.
            now_s: Monotonic time in seconds.

        Returns:
            The share in tokens; never less than what is in use.
        """
        context = self._context
        used = state.isolated_reserved + state.isolated_unsettled
        share = max(used, tokens * context.isolated_percent // 100)
        if context.isolated:
            share = max(share, used + self._isolated_demand(state, now_s))
        return max(used, min(share, tokens))

    def needs_larger_isolated_share(
        self, state: budget_state.BudgetState, now_s: float
    ) -> bool:
        """Return whether a write should raise the isolated share.

        For an isolated router that has tokens and reaches the platform, the
        share is the only limit.
        """
        if not self._context.isolated or self._pacer.platform_down:
            return False
        if (
            state.isolated_share >= state.confirmed
            or now_s < state.refill_after_s
        ):
            return False
        demand = self._isolated_demand(state, now_s)
        fraction = self._context.policy.refill_fraction
        return state.isolated_left < demand * fraction or (
            0 < state.waiting.tokens <= state.usable
        )

    def _isolated_demand(
        self, state: budget_state.BudgetState, now_s: float
    ) -> int:
        rate = state.forecast.rate(now_s)
        demand = int(rate * self._context.policy.isolated_horizon_s)
        bound = int(state.forecast.largest_bound(now_s))
        return max(demand, bound) + state.waiting.tokens

    def surplus_tokens(
        self, state: budget_state.BudgetState, now_s: float
    ) -> int:
        """Return the usable tokens to return to the platform.

        They include received transfers, because each write converts these
        before it returns tokens.
        """
        if self.is_scarce(state, now_s):
            obtainable = state.usable + self._context.grantable_tokens(
                state.budget
            )
            if state.waiting.fitting_tokens(obtainable):
                return 0
            return max(0, state.usable)
        if len(state.waiting):
            return 0
        idle_s = now_s - state.forecast.last_demand_s
        if (
            self._context.draining
            or idle_s > self._context.policy.idle_return_s
        ):
            return max(0, state.usable)
        return 0
