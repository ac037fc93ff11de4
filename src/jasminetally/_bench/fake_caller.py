"""Caller of the budget bench."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from jasminetally._bench import bench_request
    from jasminetally._bench import budget_world

CONNECT_TIMEOUT_S = 0.3
MAX_ATTEMPTS = 4


class FakeCaller:
    """Send one request, and again with the same key at other routers.

    A refusal ends the request; only silence and refused connections lead to
    another attempt.
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
        if not router.process.alive:
            self._world.queue.after(CONNECT_TIMEOUT_S, self._retry, attempt)
            return
        self._world.queue.after(self._req.patience_s, self._retry, attempt)
        router.process.deliver(
            router.submit,
            self._req,
            lambda answered: self._send_reply(attempt, answered),
        )

    def _send_reply(self, attempt: int, answered: bool) -> None:
        if answered and attempt == 1 and self._req.first_reply_lost:
            return
        delay_s = self._world.where.caller_delay_s
        self._world.queue.after(delay_s, self._receive, answered)

    def _receive(self, answered: bool) -> None:
        if self._done:
            return
        self._done = True
        if answered:
            self._world.meter.answer(self._req)

    def _retry(self, attempt: int) -> None:
        if attempt == self._attempt:
            self._try()
