"""Caller of the budget bench."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from jasminetally._bench import bench_request
    from jasminetally._bench import budget_world
    from jasminetally._bench import verdict

CONNECT_TIMEOUT_S = 0.3
RETRY_AFTER_S = 1.0
MAX_ATTEMPTS = 4


class FakeCaller:
    """Send one request, and again with the same key at other routers.

    Silence, a refused connection and a refusal that names a time to come back
    lead to another attempt; a used-up budget ends the request.
    """

    def __init__(
        self,
        world: budget_world.BudgetWorld,
        req: bench_request.BenchRequest,
    ) -> None:
        self._world = world
        self._req = req
        self._attempt = 0
        self._done = False

    def send(self) -> None:
        """Send the first attempt."""
        self._try()

    def _try(self) -> None:
        if self._done or self._attempt >= MAX_ATTEMPTS:
            return
        self._attempt += 1
        delay_s = self._world.where.caller_delay_s
        self._world.queue.after(delay_s, self._arrive, self._attempt)

    def _arrive(self, attempt: int) -> None:
        routers = self._req.routers
        instance = routers[(attempt - 1) % len(routers)]
        router = self._world.routers[instance]
        if not router.ready:
            self._world.queue.after(CONNECT_TIMEOUT_S, self._retry, attempt)
            return
        self._world.queue.after(self._req.patience_s, self._retry, attempt)
        router.process.deliver(
            router.submit,
            self._req,
            lambda found: self._send_reply(attempt, found),
        )

    def _send_reply(self, attempt: int, found: verdict.Verdict) -> None:
        if found.answered and attempt == 1 and self._req.first_reply_lost:
            return
        delay_s = self._world.where.caller_delay_s
        self._world.queue.after(delay_s, self._receive, attempt, found)

    def _receive(self, attempt: int, found: verdict.Verdict) -> None:
        if self._done:
            return
        if found.retryable and self._attempt < MAX_ATTEMPTS:
            self._world.queue.after(RETRY_AFTER_S, self._retry, attempt)
            return
        self._done = True
        if found.answered:
            self._world.meter.answer(self._req)

    def _retry(self, attempt: int) -> None:
        if attempt == self._attempt:
            self._try()
