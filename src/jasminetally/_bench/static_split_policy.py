"""Baseline: equal static split of each budget."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

from jasminetally._bench import verdict

if TYPE_CHECKING:
    from collections.abc import Callable

    from jasminetally._bench import bench_request
    from jasminetally._bench import budget_simulation
    from jasminetally._bench import host
    from jasminetally._bench import top_up


class StaticSplitPolicy:
    """Gives each router an equal share of each budget, without coordination.

    A new process doesn't know what its predecessor has spent, so it gets a
    share only of the top-ups that are applied after its start.
    """

    def __init__(
        self, sim: budget_simulation.BudgetSimulation, process: host.Host
    ) -> None:
        self._sim = sim
        self._started_s = process.now_s
        self._shares: dict[str, int] = {}
        self._used: collections.Counter[str] = collections.Counter()

    def on_config(self, top_ups: dict[str, top_up.TopUp]) -> None:
        """Compute this router's shares of a newer configuration's top-ups."""
        shares: collections.Counter[str] = collections.Counter()
        for each in top_ups.values():
            if each.at_s >= self._started_s:
                shares[each.budget] += each.tokens // len(
                    self._sim.fleet.routers
                )
        self._shares = dict(shares)

    def reserve(
        self,
        req: bench_request.BenchRequest,
        decide: Callable[[verdict.Verdict], None],
    ) -> None:
        """Admit a request if this router's share covers its bound."""
        free_tokens = self._shares.get(req.budget, 0) - self._used[req.budget]
        if free_tokens < req.bound:
            decide(verdict.refused("budget"))
            return
        self._used[req.budget] += req.bound
        decide(verdict.ADMITTED)

    def finish(
        self,
        req: bench_request.BenchRequest,
        tokens: int,
        release: Callable[[], None],
    ) -> None:
        """Charge the tokens used."""
        self._used[req.budget] -= req.bound - tokens
        self._sim.meter.count_charge(req.budget, req.key_hash, tokens)
        release()
