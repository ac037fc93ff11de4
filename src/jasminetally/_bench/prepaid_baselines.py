"""Baselines of the prepaid bench.

The two small classes share a file, because they are compared to each other.
"""

from __future__ import annotations

import collections

from jasminetally._bench import prepaid_scenario


class StaticSplit:
    """Gives each router an equal share, which a restart renews.

    The use of the share is kept in memory only.

    Attributes:
        writes: Writes to the store; always 0.
    """

    def __init__(
        self,
        scenario: prepaid_scenario.PrepaidScenario,
        prepaid: dict[str, int],
    ) -> None:
        self.writes = 0
        self._share = {
            name: tokens // scenario.routers for name, tokens in prepaid.items()
        }
        self._used: list[collections.Counter[str]] = [
            collections.Counter() for _ in range(scenario.routers)
        ]

    def reserve(
        self, router: int, account: str, tokens: int, now_s: float
    ) -> bool:
        """Reserve tokens for a request; return whether it may run."""
        del now_s
        if self._used[router][account] + tokens > self._share[account]:
            return False
        self._used[router][account] += tokens
        return True

    def release(self, router: int, account: str, tokens: int) -> None:
        """Return the tokens that a request did not use."""
        self._used[router][account] -= tokens

    def run_background_tasks(self, now_s: float) -> None:
        """Do nothing: the shares are fixed."""

    def on_fleet_crash(self, now_s: float) -> None:
        """Forget what all routers have used."""
        del now_s
        for used in self._used:
            used.clear()

    def on_router_death(self, router: int) -> None:
        """Forget what the router has used."""
        self._used[router].clear()


class WritePerRequest:
    """Reserves and settles every request with a write to the store.

    Attributes:
        writes: Writes to the store.
    """

    def __init__(
        self,
        scenario: prepaid_scenario.PrepaidScenario,
        prepaid: dict[str, int],
    ) -> None:
        self.writes = 0
        self._scenario = scenario
        self._prepaid = prepaid
        self._reserved: collections.Counter[str] = collections.Counter()

    def reserve(
        self, router: int, account: str, tokens: int, now_s: float
    ) -> bool:
        """Reserve tokens for a request; return whether it may run."""
        del router
        if not self._scenario.reaches_store(now_s):
            return False
        self.writes += 1
        if self._reserved[account] + tokens > self._prepaid[account]:
            return False
        self._reserved[account] += tokens
        return True

    def release(self, router: int, account: str, tokens: int) -> None:
        """Return the tokens that a request did not use."""
        del router
        self.writes += 1
        self._reserved[account] -= tokens

    def run_background_tasks(self, now_s: float) -> None:
        """Do nothing: the store holds all state."""

    def on_fleet_crash(self, now_s: float) -> None:
        """Do nothing: tokens of unsettled requests stay reserved."""

    def on_router_death(self, router: int) -> None:
        """Do nothing: tokens of the router's requests stay reserved."""
