"""Baseline: one conditional update for each request."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

from jasminetally._bench import object_writer
from jasminetally._bench import verdict

if TYPE_CHECKING:
    from collections.abc import Callable

    from jasminetally._bench import bench_request
    from jasminetally._bench import budget_world
    from jasminetally._bench import host
    from jasminetally._bench import top_up

WAIT_S = 2.0
FLUSH_PERIOD_S = 1.0
IN_FLIGHT_RETRY_S = 0.2


class PerRequestPolicy:
    """Reserve each request's bound with one conditional update.

    The update also settles what the router has finished since its last one;
    a separate update is made only when nothing was reserved for a second.
    """

    def __init__(
        self, world: budget_world.BudgetWorld, process: host.Host
    ) -> None:
        self._world = world
        self._process = process
        self._credited: collections.Counter[str] = collections.Counter()
        self._finished: dict[str, dict[str, int | None]] = {}
        self._writers: dict[str, object_writer.ObjectWriter] = {}
        process.every(FLUSH_PERIOD_S, self._flush)

    def on_config(self, top_ups: dict[str, top_up.TopUp]) -> None:
        """Take the top-ups of a newer configuration."""
        self._credited.clear()
        for each in top_ups.values():
            self._credited[each.budget] += each.tokens

    def reserve(
        self,
        req: bench_request.BenchRequest,
        decide: Callable[[verdict.Verdict], None],
    ) -> None:
        """Reserve the bound in the platform."""
        self._reserve(req, decide, self._process.now_s + WAIT_S)

    def finish(
        self,
        req: bench_request.BenchRequest,
        tokens: int,
        release: Callable[[], None],
    ) -> None:
        """Settle with the next conditional update."""
        self._finished.setdefault(req.budget, {})[req.key_hash] = tokens
        release()

    def _reserve(
        self,
        req: bench_request.BenchRequest,
        decide: Callable[[verdict.Verdict], None],
        until_s: float,
    ) -> None:
        outcome = {}

        def change(document: dict) -> None:
            self._settle(document, req.budget)
            outcome["state"] = self._take(document, req)

        def done(written: bool) -> None:
            self._on_written(req.budget, written)
            state = outcome["state"] if written else "platform"
            if not written:
                # The update may have taken effect; this takes it back.
                finished = self._finished.setdefault(req.budget, {})
                finished.setdefault(req.key_hash, None)
            if state == "in flight" and self._process.now_s < until_s:
                self._process.after(
                    IN_FLIGHT_RETRY_S, self._reserve, req, decide, until_s
                )
                return
            decide(_verdict(state))

        self._writer(req.budget).submit(change, done, give_up_s=until_s)

    def _take(self, document: dict, req: bench_request.BenchRequest) -> str:
        reserved = document["reserved"]
        if req.key_hash in document["done"]:
            return "answered"
        if req.key_hash in reserved:
            mine = reserved[req.key_hash][1] == self._process.incarnation
            return "admitted" if mine else "in flight"
        held = sum(bound for bound, _ in reserved.values())
        free = self._credited[req.budget] - document["used"] - held
        if free < req.bound:
            return "budget"
        reserved[req.key_hash] = (req.bound, self._process.incarnation)
        return "admitted"

    def _settle(self, document: dict, budget: str) -> None:
        for name, empty in (("reserved", {}), ("done", {}), ("used", 0)):
            document.setdefault(name, empty)
        for key_hash, tokens in self._finished.get(budget, {}).items():
            held = document["reserved"].get(key_hash)
            if held is None or held[1] != self._process.incarnation:
                continue
            del document["reserved"][key_hash]
            if tokens is not None:
                document["used"] += tokens
                document["done"][key_hash] = tokens

    def _on_written(self, budget: str, written: bool) -> None:
        if not written:
            return
        document = self._writer(budget).document
        finished = self._finished.get(budget, {})
        for key_hash in list(finished):
            held = document["reserved"].get(key_hash)
            if held is not None and held[1] == self._process.incarnation:
                continue
            tokens = finished.pop(key_hash)
            if tokens is not None and key_hash in document["done"]:
                self._world.meter.charge(budget, key_hash, tokens)

    def _flush(self) -> None:
        for budget, finished in self._finished.items():
            writer = self._writer(budget)
            if finished and not writer.busy:
                writer.submit(
                    lambda document, budget=budget: self._settle(
                        document, budget
                    ),
                    lambda written, budget=budget: self._on_written(
                        budget, written
                    ),
                    give_up_s=self._process.now_s + WAIT_S,
                )

    def _writer(self, budget: str) -> object_writer.ObjectWriter:
        if budget not in self._writers:
            self._writers[budget] = object_writer.ObjectWriter(
                self._process,
                self._world.platform,
                f"balance/{budget}",
                self._world.rng,
            )
        return self._writers[budget]


def _verdict(state: str) -> verdict.Verdict:
    match state:
        case "admitted":
            return verdict.ADMITTED
        case "answered":
            return verdict.ANSWERED
        case reason:
            return verdict.refused(reason)
