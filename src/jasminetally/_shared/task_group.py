"""Background work, at most one of each name at a time."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
import itertools

from jasminetally._observe import event_log
from jasminetally._observe import events


class TaskGroup:
    """Run coroutines and log those that fail."""

    def __init__(self, log: event_log.EventLog) -> None:
        self._log = log
        self._tasks: dict[str, asyncio.Task] = {}
        self._numbers = itertools.count()

    def start(self, name: str, work: Coroutine) -> bool:
        """Run a coroutine unless one of its name runs; return whether."""
        if name in self._tasks:
            work.close()
            return False
        task = asyncio.ensure_future(work)
        self._tasks[name] = task
        task.add_done_callback(lambda done: self._end(name, done))
        return True

    def start_another(self, name: str, work: Coroutine) -> None:
        """Run a coroutine beside others of its name."""
        self.start(f"{name} {next(self._numbers)}", work)

    def cancel(self) -> None:
        """Cancel all work."""
        for task in self._tasks.values():
            task.cancel()

    async def wait(self, name: str, timeout_s: float) -> None:
        """Wait for the end of the work of a name, for a limited time."""
        task = self._tasks.get(name)
        if task is not None:
            await asyncio.wait([task], timeout=timeout_s)

    def _end(self, name: str, done: asyncio.Task) -> None:
        del self._tasks[name]
        if not done.cancelled() and done.exception() is not None:
            self._log.emit(
                events.InternalError(where=name, error=repr(done.exception()))
            )
