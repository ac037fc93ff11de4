"""Prepaid tokens that this router hands out for one client account."""

from __future__ import annotations

from jasminetally._budget import demand_forecast
from jasminetally._peers import peer_messages
from jasminetally._prepaid import pool_record

# Seconds of demand that a stored limit covers. Outages of the store and cuts
# from it last 5 to 9 s on the users' platform; a death of the router costs
# what is left of it.
HEADROOM_S = 12.0
# The limit is raised when what is left covers less than this many seconds.
REFILL_BELOW_S = 8.5
# Share of the prepaid tokens that the limit covers before demand is known.
FIRST_SHARE = 0.25
# Seconds of demand below which an account counts as nearly used up, and the
# routers return what they hold idle.
SCARCE_S = 3.0
# Share of the prepaid tokens below which an account counts so at any demand.
SCARCE_SHARE = 0.03


class PoolHome:
    """Hand out an account's prepaid tokens up to a stored limit.

    Attributes:
        account: Client account.
        epoch: Epoch of the stored record under which tokens are handed out.
        granted: Tokens handed out and not returned, over all epochs.
        limit: Tokens that the stored record allows to hand out.
        version: Version of the stored record.
        prepaid: Tokens that have been paid for in all.
    """

    def __init__(
        self,
        account: str,
        *,
        epoch: int,
        granted: int,
        limit: int,
        version: int,
        prepaid: int,
    ) -> None:
        self.account = account
        self.epoch = epoch
        self.granted = granted
        self.limit = limit
        self.version = version
        self.prepaid = prepaid
        self._base = granted
        self._forecast = demand_forecast.DemandForecast()

    @property
    def available(self) -> int:
        """Tokens that may be handed out now."""
        return max(0, min(self.limit, self.prepaid) - self.granted)

    @property
    def remaining(self) -> int:
        """Tokens that are paid for and not handed out."""
        return max(0, self.prepaid - self.granted)

    def scarce(self, now_s: float) -> bool:
        """Return whether idle tokens should come back."""
        rate = self._forecast.rate(now_s)
        floor = max(SCARCE_SHARE * self.prepaid, SCARCE_S * rate)
        return self.remaining < floor

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
        self._forecast.observe(max(needed, 0), now_s)
        if needed > self.available:
            return peer_messages.TokensTaken(
                0, self.remaining, self.granted + needed > self.prepaid
            )
        tokens = needed
        if not self.scarce(now_s):
            share = self.available // (2 * max(1, routers))
            tokens = max(needed, min(wished, share))
        self.granted += tokens
        return peer_messages.TokensTaken(tokens, self.remaining, False)

    def put_back(self, tokens: int) -> None:
        """Take unused tokens back."""
        self.granted -= tokens

    def wanted_limit(self, now_s: float) -> int | None:
        """Return the limit to store, or None if the stored one will do."""
        rate = self._forecast.rate(now_s)
        first = (
            FIRST_SHARE * self.prepaid if self.granted == self._base else 0.0
        )
        left = min(self.limit, self.prepaid) - self.granted
        if self.limit >= self.prepaid or left >= max(
            REFILL_BELOW_S * rate, REFILL_BELOW_S / HEADROOM_S * first
        ):
            return None
        largest = self._forecast.largest_bound(now_s)
        headroom = max(HEADROOM_S * rate, first, 2 * largest)
        wanted = min(self.prepaid, self.granted + int(headroom))
        return wanted if wanted > self.limit else None

    def record(self, *, home: str, limit: int) -> pool_record.PoolRecord:
        """Return the record to store for a limit."""
        return pool_record.PoolRecord(self.epoch, home, self._base, limit)

    def on_stored(self, limit: int, version: int) -> None:
        """Note that a limit is stored."""
        self.limit = limit
        self.version = version
