"""Simulated router of the budget bench."""

from __future__ import annotations

from typing import TYPE_CHECKING

from jasminetally._bench import verdict

if TYPE_CHECKING:
    from collections.abc import Callable

    from jasminetally._bench import bench_request
    from jasminetally._bench import budget_meter
    from jasminetally._bench import fake_engines
    from jasminetally._bench import host
    from jasminetally._bench import router_policy

# Time until a new router knows its peers and the configuration. Callers learn
# its address only then.
STARTUP_S = 1.0


class FakeRouter:
    """Router process that asks a budget policy before it runs a request.

    A retry that reaches the same process joins the running request or gets
    the answer that the process still holds. This is the same for all policies.
    """

    def __init__(
        self,
        process: host.Host,
        policy: router_policy.RouterPolicy,
        engines: fake_engines.FakeEngines,
        meter: budget_meter.BudgetMeter,
    ) -> None:
        self.process = process
        self.policy = policy
        self._ready_s = process.now_s + STARTUP_S
        self._engines = engines
        self._meter = meter
        self._waiting: dict[str, list[Callable[[verdict.Verdict], None]]] = {}
        self._answers: set[str] = set()

    @property
    def ready(self) -> bool:
        """Whether callers can connect."""
        return self.process.alive and self.process.now_s >= self._ready_s

    def has_answer(self, key_hash: str) -> bool:
        """Return whether this process still holds a request's answer."""
        return key_hash in self._answers

    def submit_request(
        self,
        req: bench_request.BenchRequest,
        reply: Callable[[verdict.Verdict], None],
    ) -> None:
        """Handle a request; ``reply`` is called with the final verdict."""
        if req.key_hash in self._answers:
            reply(verdict.ANSWERED)
            return
        waiting = self._waiting.setdefault(req.key_hash, [])
        waiting.append(reply)
        if len(waiting) == 1:
            self.policy.reserve(
                req, lambda result: self._on_verdict(req, result)
            )

    def _on_verdict(
        self, req: bench_request.BenchRequest, result: verdict.Verdict
    ) -> None:
        if result.admitted:
            self._engines.run_request(
                self.process,
                req,
                lambda tokens: self.policy.finish(
                    req, tokens, lambda: self._reply(req, verdict.ANSWERED)
                ),
            )
            return
        if result.unknown:
            self._meter.count_unknown(req)
        elif not result.answered:
            self._meter.count_refusal(req, result.reason)
        self._reply(req, result)

    def _reply(
        self, req: bench_request.BenchRequest, result: verdict.Verdict
    ) -> None:
        if result.answered:
            self._answers.add(req.key_hash)
        for reply in self._waiting.pop(req.key_hash, ()):
            reply(result)
