"""Stand-in of a backend server that falls over when it rejects too much."""

from __future__ import annotations

import asyncio
import collections
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import random
import time

from testing.users_platform import server_standin

SLOTS = 4
MAX_WAITING = 2
MAX_REJECTIONS_PER_S = 6
MIN_WORK_S = 0.2
MAX_WORK_S = 0.6
DOWN_S = 3.0


class BrittleServer(server_standin.BackendServer):
    """Backend server with few slots, which may fall over under rejections.

    Args:
        name: Id of the server, which its responses carry as signature.
        service: Name of the service.
        slots: Requests that it runs at the same time.
        pace: Factor by which it works longer on each request.

    Attributes:
        falls_s: Monotonic times in seconds at which it has fallen over.
        max_waiting: Requests that may wait for a slot.
        write_entry: Stores the entry of a new incarnation; without it, the
            entry stays that of the first.
    """

    def __init__(
        self,
        name: str,
        service: str,
        *,
        slots: int = SLOTS,
        pace: float = 1.0,
    ) -> None:
        super().__init__(name, service)
        self.falls_s: list[float] = []
        self.max_waiting = MAX_WAITING
        self.write_entry: Callable[[BrittleServer], Awaitable] | None = None
        self._rng = random.Random(name)
        self._slot_count = slots
        self._pace = pace
        self._slots = asyncio.Semaphore(slots)
        self._present = 0
        self._rejected_s: collections.deque[float] = collections.deque()

    def store_entry(self, state: str = "ready") -> dict:
        """Return the server's entry in the store, with its slots."""
        return {**super().store_entry(state), "slots": self._slot_count}

    @property
    def capacity_per_s(self) -> float:
        """Mean number of requests a second that the server can answer."""
        return self._slot_count / (self._pace * (MIN_WORK_S + MAX_WORK_S) / 2)

    def restart_process(self) -> None:
        """End the process; it starts again after ``DOWN_S``."""
        self.crash(b"")
        asyncio.get_running_loop().call_later(DOWN_S, self._restart)

    async def _respond(self, writer, request) -> bool:
        if self._present >= self._slot_count + self.max_waiting:
            self._reject()
            return await self._refuse(writer, request)
        self._present += 1
        try:
            async with self._slots:
                work_s = self._rng.uniform(MIN_WORK_S, MAX_WORK_S)
                await asyncio.sleep(self._pace * work_s)
                return await super()._respond(writer, request)
        finally:
            self._present -= 1

    def _reject(self) -> None:
        now_s = time.monotonic()
        self._rejected_s.append(now_s)
        while now_s - self._rejected_s[0] > 1.0:
            self._rejected_s.popleft()
        if len(self._rejected_s) > MAX_REJECTIONS_PER_S:
            self._rejected_s.clear()
            self.falls_s.append(now_s)
            self.restart_process()

    def _restart(self) -> None:
        async def start() -> None:
            # The test may have ended.
            with contextlib.suppress(OSError):
                await self.start()
                if self.write_entry is not None:
                    self.born += 1
                    await self.write_entry(self)

        self._restarting = asyncio.ensure_future(start())
