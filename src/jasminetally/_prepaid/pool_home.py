"""Prepaid tokens that this router hands out for one client account."""

from __future__ import annotations

from jasminetally._budget import demand_forecast
from jasminetally._peers import peer_messages
from jasminetally._prepaid import pool_record

# Seconds of demand that a stored limit covers. Outages of the store and cuts
# from it last 5 to 9 s on the users' platform.
HEADROOM_S = 12.0
# A record is written anew when the limit covers less than this.
RENEW_BELOW_S = 9.0
# While what is left covers fewer seconds of demand than this, records are
# written often, so that little is lost when all routers are killed.
TIGHT_BELOW_S = 25.0
# Seconds of demand that are usable at once when a record is written, while
# much is left and while little is left.
FIRST_USABLE_S = 3.0
FIRST_USABLE_TIGHT_S = 1.3
# Seconds after the write at which more becomes usable while little is left.
# Killed routers are back in 0.6 to 1.1 s, so that a home that could write up
# to its end is known to have handed out no more than was usable at once.
GROWTH_DELAY_TIGHT_S = 2.2
# Age at which a record is written anew, while much is left and while little
# is left, if more than some demand was handed out or returned since.
RENEW_S = 4.0
RENEW_TIGHT_S = 1.2
MOVED_S = 0.2
# Tokens become usable faster than the forecast demand by this factor, so that
# a rise of the demand during an outage is served.
RATE_FACTOR = 1.4
# Largest share of the prepaid tokens that is usable at once for the sake of
# one large request.
LARGEST_SHARE = 0.03
# Before demand is known: seconds in which the prepaid tokens would be used.
FIRST_DAY_S = 45.0
# Seconds of demand below which an account counts as nearly used up, and the
# routers return what they hold idle.
SCARCE_S = 3.0
# Share of the prepaid tokens below which an account counts so at any demand.
SCARCE_SHARE = 0.03


class PoolHome:
    """Hand out an account's prepaid tokens under a stored record.

    Attributes:
        account: Client account.
        record: The stored record.
        version: Version of the stored record.
        granted: Tokens handed out and not returned, over all epochs.
        prepaid: Tokens that have been paid for in all.
    """

    def __init__(
        self,
        account: str,
        record: pool_record.PoolRecord,
        *,
        version: int,
        written_s: float,
        granted: int,
        prepaid: int,
    ) -> None:
        self.account = account
        self.record = record
        self.version = version
        self.granted = granted
        self.prepaid = prepaid
        self._written_s = written_s
        # Records that may be stored, with the time of their writes.
        self._pending: list[tuple[pool_record.PoolRecord, float]] = []
        self._forecast = demand_forecast.DemandForecast()

    @property
    def epoch(self) -> int:
        """Epoch of the stored record."""
        return self.record.epoch

    @property
    def remaining(self) -> int:
        """Tokens that are paid for and not handed out."""
        return max(0, self.prepaid - self.granted)

    def usable(self, now_s: float) -> int:
        """Return the tokens that may be handed out in all by now.

        A record whose write has no answer yet may be the stored one, so the
        tightest of all counts.
        """
        bounds = [
            record.usable_after(now_s - written_s)
            for record, written_s in (
                (self.record, self._written_s),
                *self._pending,
            )
        ]
        return min(self.prepaid, *bounds)

    def available(self, now_s: float) -> int:
        """Return the tokens that may be handed out now."""
        return max(0, self.usable(now_s) - self.granted)

    def scarce(self, now_s: float) -> bool:
        """Return whether idle tokens should come back."""
        rate = max(0.0, self._forecast.rate(now_s))
        floor = max(SCARCE_SHARE * self.prepaid, SCARCE_S * rate)
        return self.remaining < floor

    def covers(self, needed: int) -> bool:
        """Return whether what is paid for and left covers a request."""
        return self.granted + needed <= self.prepaid

    def take(
        self, needed: int, wished: int, *, routers: int, now_s: float
    ) -> peer_messages.TokensTaken:
        """Hand out tokens, or none if those needed are not available.

        Args:
            needed: Tokens without which a request can't run; 0 if none
                waits.
            wished: Tokens that would be welcome.
            routers: Routers that share the account.
            now_s: Monotonic time in seconds.
        """
        available = self.available(now_s)
        if needed > available:
            return peer_messages.TokensTaken(
                0,
                self.remaining,
                not self.covers(needed),
                self._wait_s(needed - available),
            )
        tokens = needed
        if not self.scarce(now_s):
            share = available // (2 * max(1, routers))
            tokens = max(needed, min(wished, share))
        self.granted += tokens
        self._forecast.observe(tokens, now_s)
        return peer_messages.TokensTaken(tokens, self.remaining, False, 0.0)

    def put_back(self, tokens: int, now_s: float) -> None:
        """Take unused tokens back; they were no demand."""
        self.granted -= tokens
        self._forecast.observe(-tokens, now_s)

    def account_for(self, tokens: int) -> None:
        """Take back tokens that an earlier home did not hand out."""
        self.granted -= tokens

    def plan(
        self, now_s: float, *, needed: int = 0
    ) -> pool_record.PoolRecord | None:
        """Return the record to write, or None if the stored one will do.

        Args:
            now_s: Monotonic time in seconds.
            needed: Tokens that a waiting request needs at once.
        """
        rate = self._demand(now_s)
        tight = self.remaining < TIGHT_BELOW_S * rate
        first = max(
            (FIRST_USABLE_TIGHT_S if tight else FIRST_USABLE_S) * rate,
            min(
                self._forecast.largest_bound(now_s),
                LARGEST_SHARE * self.prepaid,
            ),
            float(needed),
        )
        usable = min(self.prepaid, self.granted + int(first))
        limit = min(self.prepaid, self.granted + int(first + HEADROOM_S * rate))
        idle = self.available(now_s)
        left = self.record.limit - self.granted
        at_end = self.record.limit >= self.prepaid
        low = idle < first / 2 and usable > self.usable(now_s)
        age_s = now_s - self._written_s
        moved = abs(self.granted - self.record.base) > MOVED_S * rate
        if not (
            needed > idle
            or low
            or (moved and age_s > (RENEW_TIGHT_S if tight else RENEW_S))
            or (left < RENEW_BELOW_S * rate and not at_end)
        ):
            return None
        planned = pool_record.PoolRecord(
            self.record.epoch,
            self.record.home,
            self.granted,
            max(limit, usable),
            usable,
            int(RATE_FACTOR * rate),
            GROWTH_DELAY_TIGHT_S if tight else 0.0,
            None,
        )
        if planned.usable <= self.granted and self.record.base == self.granted:
            # Nothing is left to hand out and nothing has changed.
            return None
        return planned

    def on_writing(self, record: pool_record.PoolRecord, now_s: float) -> None:
        """Note that a write of a record is sent."""
        self._pending.append((record, now_s))

    def on_not_stored(self, record: pool_record.PoolRecord) -> None:
        """Note that a record is not stored and will not be."""
        self._pending = [
            pending for pending in self._pending if pending[0] is not record
        ]

    def on_stored(
        self, record: pool_record.PoolRecord, version: int, written_s: float
    ) -> None:
        """Note that a record is stored; no earlier write can follow it.

        Args:
            record: The record.
            version: Its version.
            written_s: Monotonic time at which the write was sent.
        """
        self.record = record
        self.version = version
        self._written_s = written_s
        self._pending.clear()

    def _demand(self, now_s: float) -> float:
        """Return the demand to plan for, in tokens/s."""
        rate = self._forecast.rate(now_s)
        return rate if rate > 0 else self.prepaid / FIRST_DAY_S

    def _wait_s(self, tokens: int) -> float:
        """Return the time until this many more tokens become usable."""
        return tokens / self.record.rate if self.record.rate > 0 else 0.0
