"""Prepaid tokens of one account at its home."""

from __future__ import annotations

from jasminetally._prepaid import account_bound
from jasminetally._shared import demand_forecast

# Seconds of demand that a stored limit covers. Outages of the store and cuts
# from it last 5 to 9 s on the users' platform.
HEADROOM_S = 12.0
# A record is written anew when the limit covers less than this.
RENEW_BELOW_S = 9.0
# While what is left covers fewer seconds of demand than this, records are
# written often, so that little is lost when all routers are killed.
TIGHT_BELOW_S = 14.0
# Seconds of demand that are usable at once when a record is written, while
# much is left and while little is left.
FIRST_USABLE_S = 3.0
FIRST_USABLE_TIGHT_S = 0.7
# Largest share of the prepaid tokens that is usable at once for the sake of
# one large request, while much is left and while little is left.
LARGEST_SHARE = 0.12
LARGEST_SHARE_TIGHT = 0.02
# Age at which a record is written anew, while much is left and while little
# is left, if more than some demand was handed out or returned since.
RENEW_S = 4.0
RENEW_TIGHT_S = 0.3
MOVED_S = 0.1
# Ratio of the rate at which tokens become usable to the forecast demand. While
# much is left, a rise of the demand during an outage is served; while little
# is left, what became usable and was not handed out would be missed.
RATE_FACTOR = 1.25
RATE_FACTOR_TIGHT = 1.0
# Before demand is known: seconds in which the prepaid tokens would be used.
FIRST_DAY_S = 45.0
# Seconds of demand below which an account counts as nearly used up, and the
# routers return what they hold idle.
SCARCE_S = 3.0
# Share of the prepaid tokens below which an account counts so at any demand.
SCARCE_SHARE = 0.03


# Share of the prepaid tokens that is kept for the end: it opens in small steps
# once the rest is used up, so that small requests are served for some time
# longer, and it is not lost when all routers are killed.
RESERVE_SHARE = 0.005
# Seconds over which the reserve opens, and the interval of its steps.
RESERVE_SPREAD_S = 20.0
RESERVE_STEP_S = 1.0
# Largest part of the reserve that is open and not handed out.
RESERVE_OPEN_SHARE = 0.25


class AccountPool:
    """Count what is handed out of an account's prepaid tokens, and plan.

    Answers the load at the end of a budget: the last tokens go to many small
    requests instead of one large one.

    Args:
        granted: Tokens handed out and not returned, over all epochs.
        prepaid: Tokens that have been paid for in all.
        demand: Tokens/s that the home before forecast; 0 if unknown.
        now_s: Monotonic time in seconds.

    Attributes:
        granted: Tokens handed out and not returned, over all epochs.
        prepaid: Tokens that have been paid for in all.
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
        # Of what single requests need; what routers wish for is no measure.
        self._needs = demand_forecast.DemandForecast()
        self._opened = 0
        self._opened_s: float | None = None

    @property
    def remaining(self) -> int:
        """Tokens that are paid for and not handed out."""
        return max(0, self.prepaid - self.granted)

    @property
    def ceiling(self) -> int:
        """Tokens that may be handed out in all while the reserve is kept."""
        return self.prepaid - self._reserve + min(self._opened, self._reserve)

    @property
    def open_tokens(self) -> int:
        """Tokens that are left and open; the reserve opens in steps."""
        return max(0, self.ceiling - self.granted)

    def covers(self, needed: int) -> bool:
        """Return whether what is left and open covers a request."""
        return self.granted + needed <= self.ceiling

    def open_reserve_step(self, now_s: float) -> None:
        """Open a step of the reserve if the rest is used up."""
        reserve = self._reserve
        step = int(reserve * RESERVE_STEP_S / RESERVE_SPREAD_S)
        if self.granted + step < self.prepaid - reserve:
            return
        if (
            self._opened_s is not None
            and now_s - self._opened_s < RESERVE_STEP_S
        ):
            return
        self._opened_s = now_s
        if self.ceiling - self.granted + step <= RESERVE_OPEN_SHARE * reserve:
            self._opened += step

    def is_scarce(self, now_s: float) -> bool:
        """Return whether idle tokens should come back."""
        rate = max(0.0, self._forecast.rate(now_s))
        floor = max(SCARCE_SHARE * self.prepaid, SCARCE_S * rate)
        return self.remaining < floor

    def grant(self, tokens: int, needed: int, now_s: float) -> None:
        """Hand out tokens, of which a request needs some."""
        self.granted += tokens
        self._forecast.observe_demand(tokens, now_s)
        self._needs.observe_demand(needed, now_s)

    def return_tokens(self, tokens: int, now_s: float) -> None:
        """Take unused tokens back; they were no demand."""
        self.granted -= tokens
        self._forecast.observe_demand(-tokens, now_s)

    def credit_unspent(self, tokens: int) -> None:
        """Take back tokens that an earlier home did not hand out."""
        self.granted -= tokens

    def plan_bound(
        self, now_s: float, *, needed: int = 0
    ) -> account_bound.AccountBound:
        """Return the bound to store now.

        Args:
            now_s: Monotonic time in seconds.
            needed: Tokens that a waiting request needs at once.
        """
        rate = self._demand(now_s)
        first = self._first(now_s, needed)
        factor = RATE_FACTOR_TIGHT if self._tight(now_s) else RATE_FACTOR
        ceiling = self.ceiling
        usable = min(ceiling, self.granted + int(first))
        limit = min(ceiling, self.granted + int(first + HEADROOM_S * rate))
        return account_bound.AccountBound(
            self.granted,
            max(limit, usable, self.granted),
            max(usable, self.granted),
            int(factor * rate),
            int(max(0.0, self._forecast.rate(now_s))),
        )

    def needs_renewal(
        self,
        bound: account_bound.AccountBound | None,
        *,
        usable: int,
        age_s: float,
        now_s: float,
    ) -> bool:
        """Return whether a stored bound should be replaced.

        Args:
            bound: Stored bound; None if there is none.
            usable: Tokens that may be handed out in all by now.
            age_s: Seconds since the bound was written.
            now_s: Monotonic time in seconds.
        """
        if bound is None:
            return True
        rate = self._demand(now_s)
        tight = self._tight(now_s)
        first = self._first(now_s, 0)
        low = usable - self.granted < first / 2 and usable < min(
            self.ceiling, self.granted + int(first)
        )
        short = (
            bound.limit - self.granted < RENEW_BELOW_S * rate
            and bound.limit < self.ceiling
        )
        moved = abs(self.granted - bound.base) > MOVED_S * rate
        old = age_s > (RENEW_TIGHT_S if tight else RENEW_S)
        return low or short or (moved and old)

    @property
    def _reserve(self) -> int:
        return int(RESERVE_SHARE * self.prepaid)

    def _first(self, now_s: float, needed: int) -> float:
        """Return the tokens beyond those granted that are usable at once."""
        tight = self._tight(now_s)
        seconds = FIRST_USABLE_TIGHT_S if tight else FIRST_USABLE_S
        share = LARGEST_SHARE_TIGHT if tight else LARGEST_SHARE
        largest = min(self._needs.largest_bound(now_s), share * self.prepaid)
        return max(seconds * self._demand(now_s), largest) + needed

    def _tight(self, now_s: float) -> bool:
        return self.remaining < TIGHT_BELOW_S * self._demand(now_s)

    def _demand(self, now_s: float) -> float:
        """Return the demand to plan for, in tokens/s."""
        rate = self._forecast.rate(now_s)
        return rate if rate > 0 else self.prepaid / FIRST_DAY_S
