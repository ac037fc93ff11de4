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
    """Spend an equal share of each budget without coordination.

    A replacement can't know what its predecessor has spent, so that it only
    gets its share of top-ups that are applied after its start.
    """

    def __init__(
        self, sim: budget_simulation.BudgetSimulation, process: host.Host
    ) -> None:
        self._sim = sim
        self._started_s = process.now_s
        self._shares: dict[str, int] = {}
        self._used: collections.Counter[str] = collections.Counter()

    def on_config(self, top_ups: dict[str, top_up.TopUp]) -> None:
        """Split the top-ups of a newer configuration."""
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
        """Admit if the own share covers the bound."""
        free = self._shares.get(req.budget, 0) - self._used[req.budget]
        if free < req.bound:
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
        """Charge the actual use."""
        self._used[req.budget] -= req.bound - tokens
        self._sim.meter.count_charge(req.budget, req.key_hash, tokens)
        release()
