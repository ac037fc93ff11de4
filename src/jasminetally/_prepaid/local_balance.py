"""Prepaid tokens of one client account that a router holds for requests."""

from __future__ import annotations

from jasminetally._shared import demand_forecast

# Seconds of its own demand that a router holds. It bridges the time in which
# a dead home is noticed and replaced, and makes one message serve several
# requests.
HOLD_S = 0.4
# A router asks for more when it holds less than this share of its target.
LOW_SHARE = 0.5
# It returns what exceeds this multiple of its target.
HIGH_SHARE = 1.5


class LocalBalance:
    """Hold tokens that a home has handed out to this router.

    Attributes:
        tokens: Tokens that are held and not reserved.
        scarce: The account is nearly used up; nothing is held idle.
    """

    def __init__(self) -> None:
        self.tokens = 0
        self.scarce = False
        self._forecast = demand_forecast.DemandForecast()

    def observe_request(self, needed: int, now_s: float) -> None:
        """Count a request of this router."""
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

    def target(self, now_s: float) -> int:
        """Return the tokens that the router should hold."""
        if self.scarce:
            return 0
        return int(HOLD_S * self._forecast.rate(now_s))

    def shortfall(self, now_s: float) -> int:
        """Return the tokens to ask for, or 0 if enough are held."""
        target = self.target(now_s)
        if self.tokens >= LOW_SHARE * target:
            return 0
        return target - self.tokens

    def surplus(self, now_s: float) -> int:
        """Return the tokens to give back, or 0 if none are idle."""
        target = self.target(now_s)
        if self.tokens <= HIGH_SHARE * target:
            return 0
        return self.tokens - target

    def withdraw(self, tokens: int) -> int:
        """Remove up to this many tokens to give them back."""
        taken = min(tokens, self.tokens)
        self.tokens -= taken
        return taken
