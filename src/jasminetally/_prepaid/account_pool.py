"""Prepaid tokens of one account, as counted by the owner of its shard."""

from __future__ import annotations

from jasminetally._prepaid import account_bound
from jasminetally._shared import demand_forecast

# Seconds of demand that a stored limit covers. Store outages and partitions
# from the store last 5 to 9 s on the users' platform.
LIMIT_DEMAND_S = 12.0
# The record is renewed when its limit covers fewer seconds of demand.
RENEW_LIMIT_BELOW_S = 9.0
# The pool is low when the remaining tokens cover fewer seconds of demand.
# Records are then written often, and routers hold no idle tokens, so that few
# tokens are lost if all routers are killed.
LOW_POOL_BELOW_S = 14.0
# Seconds of demand that are usable immediately after a record is written, for
# a normal and for a low pool.
IMMEDIATE_DEMAND_S = 3.0
IMMEDIATE_DEMAND_LOW_S = 0.3
# Largest share of the prepaid tokens that is usable immediately in order to
# fit one large request, for a normal and for a low pool.
LARGE_REQUEST_SHARE = 0.12
LARGE_REQUEST_SHARE_LOW = 0.008
# Age at which the record is renewed, for a normal and for a low pool, provided
# that the count has changed by more than the last value, in seconds of demand.
RENEW_AGE_S = 4.0
RENEW_AGE_LOW_S = 0.3
RENEW_MIN_CHANGE_S = 0.1
# Seconds of demand by which ceilings at witnesses lie above what is handed out.
# This is what a failed owner strands; it also covers the exchange of messages.
CEILING_DEMAND_S = 0.6
# Ratio of the growth rate of the usable tokens to the forecast demand. With a
# normal pool, rising demand is still served during a store outage. With a low
# pool, tokens that became usable but were not handed out would count as spent
# after a takeover.
GROWTH_FACTOR = 1.25
GROWTH_FACTOR_LOW = 1.0
# While the demand is unknown, the demand that would use up the prepaid tokens
# in this time is assumed.
DEFAULT_SPEND_TIME_S = 45.0
# Below this share of the prepaid tokens the account is scarce at any demand,
# also while its demand is unknown. Routers then hold no idle tokens.
SCARCE_BELOW_SHARE = 0.03
# Share of the prepaid tokens that is kept as a reserve for the most urgent
# requests. It is opened in small steps after the rest is used up, so that they
# are served for longer, and it is not lost if all routers are killed. The users
# tolerate that this share is not used.
RESERVE_PREPAID_SHARE = 0.015
# Time without a more urgent request after which a request counts as one of the
# most urgent of its account.
URGENT_RANK_TTL_S = 10.0
# Time in which the whole reserve is opened, and the interval of the steps.
RESERVE_OPENING_S = 20.0
RESERVE_STEP_INTERVAL_S = 1.0
# Largest share of the reserve that may be open and not yet handed out.
RESERVE_MAX_OPEN_SHARE = 0.25


class AccountPool:
    """Counts the tokens handed out of one account and plans its bound.

    When the budget is nearly used up, the last tokens are spread over many
    small requests instead of being spent on one large request.

    Args:
        granted: Tokens handed out and not returned, over all epochs.
        prepaid: Total tokens that have been paid for.
        demand: Forecast of the previous owner in tokens/s; 0 if unknown.
        now_s: Monotonic time in seconds.

    Attributes:
        granted: Tokens handed out and not returned, over all epochs.
        prepaid: Total tokens that have been paid for.
    """

    def __init__(
        self,
        *,
        granted: int,
        prepaid: int,
        demand: float = 0.0,
        now_s: float = 0.0,
    ) -> None:
        self.granted = granted
        self.prepaid = prepaid
        self._forecast = demand_forecast.DemandForecast()
        self._forecast.set_initial_rate(demand, now_s)
        # Counts only what single requests need. What routers ask for to fill
        # their balances does not depend on the size of requests.
        self._request_forecast = demand_forecast.DemandForecast()
        # When a request of each rank was last seen.
        self._rank_seen_s: dict[int, float] = {}
        self._opened_tokens = 0
        self._last_opened_s: float | None = None

    @property
    def remaining(self) -> int:
        """Tokens that are paid for and not handed out."""
        return max(0, self.prepaid - self.granted)

    @property
    def grant_ceiling(self) -> int:
        """Total tokens that may be handed out, without the closed reserve."""
        return (
            self.prepaid
            - self._reserve_tokens
            + min(self._opened_tokens, self._reserve_tokens)
        )

    def open_tokens(self, *, urgent: bool = True) -> int:
        """Return the remaining tokens that requests may use now.

        Args:
            urgent: Whether they are the most urgent requests, to which the
                opened part of the reserve is left.
        """
        ceiling = self.grant_ceiling
        if not urgent:
            ceiling = min(ceiling, self.prepaid - self._reserve_tokens)
        return max(0, ceiling - self.granted)

    def covers(self, needed: int, *, urgent: bool = True) -> bool:
        """Return whether the open tokens suffice for a request."""
        return needed <= self.open_tokens(urgent=urgent)

    def is_urgent(self, rank: int, now_s: float) -> bool:
        """Note a request, and return whether it is one of the most urgent.

        Args:
            rank: Rank of its route; 0 is the most urgent.
            now_s: Monotonic time in seconds.
        """
        self._rank_seen_s[rank] = now_s
        return not any(
            other < rank and now_s - seen_s < URGENT_RANK_TTL_S
            for other, seen_s in self._rank_seen_s.items()
        )

    def open_reserve_step(self, now_s: float) -> None:
        """Open one step of the reserve if the other tokens are used up.

        Does nothing until the step interval has passed, or while too much of
        the reserve is open and not handed out.
        """
        reserve = self._reserve_tokens
        step = int(reserve * RESERVE_STEP_INTERVAL_S / RESERVE_OPENING_S)
        if self.granted + step < self.prepaid - reserve:
            return
        if (
            self._last_opened_s is not None
            and now_s - self._last_opened_s < RESERVE_STEP_INTERVAL_S
        ):
            return
        self._last_opened_s = now_s
        if (
            self.grant_ceiling - self.granted + step
            <= RESERVE_MAX_OPEN_SHARE * reserve
        ):
            self._opened_tokens += step

    def is_scarce(self, now_s: float) -> bool:
        """Return whether routers should return their idle tokens."""
        rate = max(0.0, self._forecast.rate(now_s))
        threshold = max(
            SCARCE_BELOW_SHARE * self.prepaid, LOW_POOL_BELOW_S * rate
        )
        return self.remaining < threshold

    def grant(self, tokens: int, needed: int, now_s: float) -> None:
        """Count tokens that are handed out.

        Args:
            tokens: Tokens handed out.
            needed: Part of them that a waiting request needs.
            now_s: Monotonic time in seconds.
        """
        self.granted += tokens
        self._forecast.observe_demand(tokens, now_s)
        self._request_forecast.observe_demand(needed, now_s)

    def return_tokens(self, tokens: int, now_s: float) -> None:
        """Take unused tokens back and subtract them from the demand."""
        self.granted -= tokens
        self._forecast.observe_demand(-tokens, now_s)

    def credit_unspent(self, tokens: int) -> None:
        """Take back tokens that a previous owner never handed out."""
        self.granted -= tokens

    def plan_bound(
        self, now_s: float, *, needed: int = 0
    ) -> account_bound.AccountBound:
        """Return the bound to store now.

        Args:
            now_s: Monotonic time in seconds.
            needed: Tokens that waiting requests need immediately.
        """
        rate = self._planning_demand(now_s)
        immediate = self._immediate_tokens(now_s, needed)
        factor = GROWTH_FACTOR_LOW if self._is_low(now_s) else GROWTH_FACTOR
        ceiling = self.grant_ceiling
        usable = min(ceiling, self.granted + int(immediate))
        limit = min(
            ceiling, self.granted + int(immediate + LIMIT_DEMAND_S * rate)
        )
        return account_bound.AccountBound(
            self.granted,
            max(limit, usable, self.granted),
            max(usable, self.granted),
            int(factor * rate),
            int(max(0.0, self._forecast.rate(now_s))),
        )

    def ceiling_margin(self, now_s: float) -> int:
        """Return the tokens by which a new ceiling exceeds those granted."""
        largest = min(
            self._request_forecast.largest_bound(now_s),
            LARGE_REQUEST_SHARE_LOW * self.prepaid,
        )
        demand = CEILING_DEMAND_S * self._planning_demand(now_s)
        return int(max(demand, largest))

    def needs_renewal(
        self,
        bound: account_bound.AccountBound | None,
        *,
        usable: int,
        age_s: float,
        now_s: float,
    ) -> bool:
        """Return whether the stored bound should be replaced.

        Args:
            bound: Stored bound; None if there is none.
            usable: Total tokens that may be handed out by now.
            age_s: Seconds since the bound was written.
            now_s: Monotonic time in seconds.
        """
        if bound is None:
            return True
        rate = self._planning_demand(now_s)
        is_low = self._is_low(now_s)
        immediate = self._immediate_tokens(now_s, 0)
        usable_low = usable - self.granted < immediate / 2 and usable < min(
            self.grant_ceiling, self.granted + int(immediate)
        )
        limit_low = (
            bound.limit - self.granted < RENEW_LIMIT_BELOW_S * rate
            and bound.limit < self.grant_ceiling
        )
        changed = abs(self.granted - bound.granted) > RENEW_MIN_CHANGE_S * rate
        old = age_s > (RENEW_AGE_LOW_S if is_low else RENEW_AGE_S)
        return usable_low or limit_low or (changed and old)

    @property
    def _reserve_tokens(self) -> int:
        return int(RESERVE_PREPAID_SHARE * self.prepaid)

    def _immediate_tokens(self, now_s: float, needed: int) -> float:
        """Return how many more tokens a new bound makes usable immediately."""
        is_low = self._is_low(now_s)
        seconds = IMMEDIATE_DEMAND_LOW_S if is_low else IMMEDIATE_DEMAND_S
        share = LARGE_REQUEST_SHARE_LOW if is_low else LARGE_REQUEST_SHARE
        largest = min(
            self._request_forecast.largest_bound(now_s), share * self.prepaid
        )
        return max(seconds * self._planning_demand(now_s), largest) + needed

    def _is_low(self, now_s: float) -> bool:
        return self.remaining < LOW_POOL_BELOW_S * self._planning_demand(now_s)

    def _planning_demand(self, now_s: float) -> float:
        """Return the demand to plan for in tokens/s, assumed if unknown."""
        rate = self._forecast.rate(now_s)
        return rate if rate > 0 else self.prepaid / DEFAULT_SPEND_TIME_S
