"""Simulated caller of the budget bench."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from jasminetally._bench import bench_request
    from jasminetally._bench import budget_simulation
    from jasminetally._bench import verdict

CONNECT_TIMEOUT_S = 0.3
RETRY_DELAY_S = 1.0
MAX_ATTEMPTS = 4


class FakeCaller:
    """Sends one request and retries it with the same key at other routers.

    A timeout, a failed connection and a retryable refusal lead to another
    attempt. A refusal because the budget is exhausted ends the request.
    """

    def __init__(
        self,
        sim: budget_simulation.BudgetSimulation,
        req: bench_request.BenchRequest,
    ) -> None:
        self._sim = sim
        self._req = req
        self._attempt = 0
        self._is_done = False

    def send_request(self) -> None:
        """Send the request's first attempt."""
        self._send_attempt()

    def _send_attempt(self) -> None:
        if self._is_done or self._attempt >= MAX_ATTEMPTS:
            return
        self._attempt += 1
        delay_s = self._sim.fleet.caller_delay_s
        self._sim.queue.call_after(delay_s, self._on_arrival, self._attempt)

    def _on_arrival(self, attempt: int) -> None:
        routers = self._req.routers
        instance = routers[(attempt - 1) % len(routers)]
        router = self._sim.routers[instance]
        if not router.ready:
            self._sim.queue.call_after(
                CONNECT_TIMEOUT_S, self._retry_attempt, attempt
            )
            return
        self._sim.queue.call_after(
            self._req.reply_timeout_s, self._retry_attempt, attempt
        )
        router.process.deliver(
            router.submit_request,
            self._req,
            lambda result: self._send_reply(attempt, result),
        )

    def _send_reply(self, attempt: int, result: verdict.Verdict) -> None:
        if result.answered and attempt == 1 and self._req.first_reply_lost:
            return
        delay_s = self._sim.fleet.caller_delay_s
        self._sim.queue.call_after(delay_s, self._on_reply, attempt, result)

    def _on_reply(self, attempt: int, result: verdict.Verdict) -> None:
        if self._is_done:
            return
        if result.retryable and self._attempt < MAX_ATTEMPTS:
            self._sim.queue.call_after(
                RETRY_DELAY_S, self._retry_attempt, attempt
            )
            return
        self._is_done = True
        if result.answered:
            self._sim.meter.count_answer(self._req)

    def _retry_attempt(self, attempt: int) -> None:
        if attempt == self._attempt:
            self._send_attempt()
