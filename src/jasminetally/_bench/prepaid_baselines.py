"""Simpler ways to hold prepaid tokens, for the prepaid bench.

Two small classes in one file: each is only read beside the other.
"""

from __future__ import annotations

import collections

from jasminetally._bench import prepaid_scenario


class StaticSplit:
    """Each router holds an equal share in memory, which a start renews."""

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
        """Take back what a request did not use."""
        self._used[router][account] -= tokens

    def run_background_tasks(self, now_s: float) -> None:
        """Do nothing: shares are fixed."""

    def on_fleet_crash(self, now_s: float) -> None:
        """All routers die and forget what was used."""
        del now_s
        for used in self._used:
            used.clear()

    def on_router_death(self, router: int) -> None:
        """One router dies and forgets what was used."""
        self._used[router].clear()


class WritePerRequest:
    """Every request is reserved and settled by a write to the store."""

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
        """Take back what a request did not use."""
        del router
        self.writes += 1
        self._reserved[account] -= tokens

    def run_background_tasks(self, now_s: float) -> None:
        """Do nothing: the store has everything."""

    def on_fleet_crash(self, now_s: float) -> None:
        """All routers die; what they had reserved stays reserved."""

    def on_router_death(self, router: int) -> None:
        """One router dies; what it had reserved stays reserved."""
