"""Baseline: admission against a cached, periodically written balance."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

from jasminetally._bench import object_writer
from jasminetally._bench import verdict

if TYPE_CHECKING:
    from collections.abc import Callable

    from jasminetally._bench import bench_request
    from jasminetally._bench import budget_simulation
    from jasminetally._bench import host
    from jasminetally._bench import top_up

SYNCHRONISATION_PERIOD_S = 1.0


class CachedBalancePolicy:
    """Admits requests against the balance that was read last.

    The tokens used since then are added to a platform object once a second.
    """

    def __init__(
        self, sim: budget_simulation.BudgetSimulation, process: host.Host
    ) -> None:
        self._sim = sim
        self._process = process
        self._credited: collections.Counter[str] = collections.Counter()
        self._unsynchronised: collections.Counter[str] = collections.Counter()
        self._reserved: collections.Counter[str] = collections.Counter()
        self._writers: dict[str, object_writer.ObjectWriter] = {}
        process.call_every(SYNCHRONISATION_PERIOD_S, self._synchronise_balances)

    def on_config(self, top_ups: dict[str, top_up.TopUp]) -> None:
        """Apply the top-ups of a newer configuration."""
        self._credited.clear()
        for each in top_ups.values():
            self._credited[each.budget] += each.tokens
            if each.budget not in self._writers:
                self._writers[each.budget] = object_writer.ObjectWriter(
                    self._process,
                    self._sim.platform,
                    f"balance/{each.budget}",
                    self._sim.rng,
                )

    def reserve(
        self,
        req: bench_request.BenchRequest,
        decide: Callable[[verdict.Verdict], None],
    ) -> None:
        """Admit a request if the cached balance covers its bound."""
        writer = self._writers.get(req.budget)
        used = writer.document.get("used", 0) if writer else 0
        free_tokens = (
            self._credited[req.budget]
            - used
            - self._unsynchronised[req.budget]
            - self._reserved[req.budget]
        )
        if free_tokens < req.bound:
            decide(verdict.refused("budget"))
            return
        self._reserved[req.budget] += req.bound
        decide(verdict.ADMITTED)

    def finish(
        self,
        req: bench_request.BenchRequest,
        tokens: int,
        release: Callable[[], None],
    ) -> None:
        """Charge the tokens used; they are written to the platform later."""
        self._reserved[req.budget] -= req.bound
        self._unsynchronised[req.budget] += tokens
        self._sim.meter.count_charge(req.budget, req.key_hash, tokens)
        release()

    def _synchronise_balances(self) -> None:
        for budget, writer in self._writers.items():
            tokens = self._unsynchronised[budget]
            if writer.busy:
                continue
            if tokens == 0:
                writer.refresh()
                continue
            writer.submit_change(
                lambda document, tokens=tokens: _add_used(document, tokens),
                lambda written, budget=budget, tokens=tokens: (
                    self._on_synchronised(budget, tokens, written)
                ),
                deadline_s=self._process.now_s + 0.5,
            )

    def _on_synchronised(self, budget: str, tokens: int, written: bool) -> None:
        if written:
            self._unsynchronised[budget] -= tokens


def _add_used(document: dict, tokens: int) -> None:
    document["used"] = document.get("used", 0) + tokens
