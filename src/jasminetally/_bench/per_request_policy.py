"""Baseline: one conditional update for each request."""

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

RESERVE_TIMEOUT_S = 2.0
FLUSH_PERIOD_S = 1.0
IN_FLIGHT_RETRY_S = 0.2


class PerRequestPolicy:
    """Reserves each request's bound with one conditional update.

    The update also settles the requests that the router finished since its
    last update. Each second, the finished requests that no update has settled
    are settled by an update of their own.
    """

    def __init__(
        self, sim: budget_simulation.BudgetSimulation, process: host.Host
    ) -> None:
        self._sim = sim
        self._process = process
        self._credited: collections.Counter[str] = collections.Counter()
        self._finished: dict[str, dict[str, int | None]] = {}
        self._writers: dict[str, object_writer.ObjectWriter] = {}
        process.call_every(FLUSH_PERIOD_S, self._flush_settlements)

    def on_config(self, top_ups: dict[str, top_up.TopUp]) -> None:
        """Apply the top-ups of a newer configuration."""
        self._credited.clear()
        for each in top_ups.values():
            self._credited[each.budget] += each.tokens

    def reserve(
        self,
        req: bench_request.BenchRequest,
        decide: Callable[[verdict.Verdict], None],
    ) -> None:
        """Reserve the bound in the budget's platform object."""
        self._reserve(req, decide, self._process.now_s + RESERVE_TIMEOUT_S)

    def finish(
        self,
        req: bench_request.BenchRequest,
        tokens: int,
        release: Callable[[], None],
    ) -> None:
        """Release the answer; the next conditional update settles it."""
        self._finished.setdefault(req.budget, {})[req.key_hash] = tokens
        release()

    def _reserve(
        self,
        req: bench_request.BenchRequest,
        decide: Callable[[verdict.Verdict], None],
        deadline_s: float,
    ) -> None:
        outcome = {}

        def change_document(document: dict) -> None:
            self._settle_finished(document, req.budget)
            outcome["state"] = self._try_reserve(document, req)

        def on_written(written: bool) -> None:
            self._on_written(req.budget, written)
            state = outcome["state"] if written else "platform"
            if not written:
                # The write may have succeeded, so cancel its reservation.
                finished = self._finished.setdefault(req.budget, {})
                finished.setdefault(req.key_hash, None)
            if state == "in flight" and self._process.now_s < deadline_s:
                self._process.call_after(
                    IN_FLIGHT_RETRY_S, self._reserve, req, decide, deadline_s
                )
                return
            decide(_to_verdict(state))

        self._get_writer(req.budget).submit_change(
            change_document, on_written, deadline_s=deadline_s
        )

    def _try_reserve(
        self, document: dict, req: bench_request.BenchRequest
    ) -> str:
        reserved = document["reserved"]
        if req.key_hash in document["done"]:
            return "answered"
        if req.key_hash in reserved:
            is_own = reserved[req.key_hash][1] == self._process.incarnation
            return "admitted" if is_own else "in flight"
        reserved_tokens = sum(bound for bound, _ in reserved.values())
        free_tokens = (
            self._credited[req.budget] - document["used"] - reserved_tokens
        )
        if free_tokens < req.bound:
            return "budget"
        reserved[req.key_hash] = (req.bound, self._process.incarnation)
        return "admitted"

    def _settle_finished(self, document: dict, budget: str) -> None:
        for name, empty in (("reserved", {}), ("done", {}), ("used", 0)):
            document.setdefault(name, empty)
        for key_hash, tokens in self._finished.get(budget, {}).items():
            reservation = document["reserved"].get(key_hash)
            if (
                reservation is None
                or reservation[1] != self._process.incarnation
            ):
                continue
            del document["reserved"][key_hash]
            if tokens is not None:
                document["used"] += tokens
                document["done"][key_hash] = tokens

    def _on_written(self, budget: str, written: bool) -> None:
        if not written:
            return
        document = self._get_writer(budget).document
        finished = self._finished.get(budget, {})
        for key_hash in list(finished):
            reservation = document["reserved"].get(key_hash)
            if (
                reservation is not None
                and reservation[1] == self._process.incarnation
            ):
                continue
            tokens = finished.pop(key_hash)
            if tokens is not None and key_hash in document["done"]:
                self._sim.meter.count_charge(budget, key_hash, tokens)

    def _flush_settlements(self) -> None:
        for budget, finished in self._finished.items():
            writer = self._get_writer(budget)
            if finished and not writer.busy:
                writer.submit_change(
                    lambda document, budget=budget: self._settle_finished(
                        document, budget
                    ),
                    lambda written, budget=budget: self._on_written(
                        budget, written
                    ),
                    deadline_s=self._process.now_s + RESERVE_TIMEOUT_S,
                )

    def _get_writer(self, budget: str) -> object_writer.ObjectWriter:
        if budget not in self._writers:
            self._writers[budget] = object_writer.ObjectWriter(
                self._process,
                self._sim.platform,
                f"balance/{budget}",
                self._sim.rng,
            )
        return self._writers[budget]


def _to_verdict(state: str) -> verdict.Verdict:
    match state:
        case "admitted":
            return verdict.ADMITTED
        case "answered":
            return verdict.ANSWERED
        case reason:
            return verdict.refused(reason)
