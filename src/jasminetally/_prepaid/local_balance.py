"""Prepaid tokens of one client account that a router holds for requests."""

from __future__ import annotations

import math

from jasminetally._shared import demand_forecast

# Target balance in seconds of the router's own demand. It bridges the time
# until a failed owner is detected and replaced, and lets one message serve
# several requests.
TARGET_DEMAND_S = 0.4
# The router asks for more tokens below this share of its target balance.
REFILL_BELOW_SHARE = 0.5
# The router returns the excess above this multiple of its target balance.
RETURN_ABOVE_RATIO = 1.5
# Smaller returns are not worth a message while the account is not scarce.
MIN_RETURN_TOKENS = 500
# Shortest time between two smaller returns of a scarce account. The unused
# rests of requests add up over hundreds of routers.
SMALL_RETURN_INTERVAL_S = 0.5


class LocalBalance:
    """Holds the tokens that an owner has handed out to this router.

    The owner is the router that hands out the tokens of the account's shard.

    Attributes:
        tokens: Tokens that are held and not reserved.
        scarce: The account is nearly used up, so no idle tokens are held.
    """

    def __init__(self) -> None:
        self.tokens = 0
        self.scarce = False
        self._last_small_return_s = -math.inf
        self._forecast = demand_forecast.DemandForecast()

    def observe_request(self, needed: int, now_s: float) -> None:
        """Count the tokens that a request needs towards the demand."""
        self._forecast.observe_demand(needed, now_s)

    def reserve(self, needed: int) -> bool:
        """Reserve tokens for a request; return whether there were enough."""
        if needed > self.tokens:
            return False
        self.tokens -= needed
        return True

    def add(self, tokens: int) -> None:
        """Add tokens that were handed out or that a request did not use."""
        self.tokens += tokens

    def target_tokens(self, now_s: float) -> int:
        """Return the number of tokens that the router should hold."""
        if self.scarce:
            return 0
        return int(TARGET_DEMAND_S * self._forecast.rate(now_s))

    def shortfall(self, now_s: float) -> int:
        """Return the tokens to ask the owner for; 0 if enough are held."""
        target = self.target_tokens(now_s)
        if self.tokens >= REFILL_BELOW_SHARE * target:
            return 0
        return target - self.tokens

    def surplus(self, now_s: float) -> int:
        """Return the tokens to return to the owner; 0 if few are idle."""
        target = self.target_tokens(now_s)
        if self.tokens <= RETURN_ABOVE_RATIO * target:
            return 0
        return self.tokens - target

    def returnable_tokens(self, now_s: float) -> int:
        """Return the idle tokens that are worth a message to the owner now.

        Args:
            now_s: Monotonic time in seconds.
        """
        surplus = self.surplus(now_s)
        if surplus >= MIN_RETURN_TOKENS:
            return surplus
        if (
            not self.scarce
            or now_s - self._last_small_return_s < SMALL_RETURN_INTERVAL_S
        ):
            return 0
        self._last_small_return_s = now_s
        return surplus

    def withdraw(self, tokens: int) -> int:
        """Remove at most this many tokens and return how many."""
        withdrawn = min(tokens, self.tokens)
        self.tokens -= withdrawn
        return withdrawn
