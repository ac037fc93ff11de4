"""Background tasks that are identified by name."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
import itertools
from typing import Any

from jasminetally._observe import event_log
from jasminetally._observe import events

# Pause before a task is started again that has failed.
RESTART_DELAY_S = 1.0


class BackgroundTasks:
    """Runs coroutines as tasks, at most one per name, and logs failures.

    Unlike with ``asyncio.TaskGroup``, a failed task does not affect others.

    Args:
        log: Receives an ``InternalError`` event for each failed task.
    """

    def __init__(self, log: event_log.EventLog) -> None:
        self._log = log
        self._tasks: dict[str, asyncio.Task] = {}
        self._sequence = itertools.count()

    def start(self, name: str, coro: Coroutine) -> bool:
        """Start a coroutine unless a task of the same name is running.

        Args:
            name: Name of the task; also stated when its failure is logged.
            coro: Coroutine to run; closed if it is not started.

        Returns:
            Whether the coroutine was started.
        """
        if name in self._tasks:
            coro.close()
            return False
        task = asyncio.ensure_future(coro)
        self._tasks[name] = task
        task.add_done_callback(lambda done: self._on_done(name, done))
        return True

    def start_concurrent(self, name: str, coro: Coroutine) -> None:
        """Start a coroutine even if tasks of the same name are running.

        Args:
            name: Name to which a sequence number is added.
            coro: Coroutine to run.
        """
        self.start(f"{name} {next(self._sequence)}", coro)

    def keep_running(
        self, name: str, run: Callable[[], Coroutine[Any, Any, None]]
    ) -> None:
        """Run a task that the process needs, again whenever it fails.

        Args:
            name: Name of the task.
            run: Returns the coroutine to run.
        """

        async def run_until_done() -> None:
            while True:
                try:
                    await run()
                    return
                except Exception as exc:
                    self._log_failure(name, exc)
                    await asyncio.sleep(RESTART_DELAY_S)

        self.start(name, run_until_done())

    def cancel_all(self) -> None:
        """Cancel all running tasks without waiting for their end."""
        for task in self._tasks.values():
            task.cancel()

    async def wait(self, name: str, timeout_s: float) -> None:
        """Wait until the task of a name has ended or the timeout expires.

        Args:
            name: Name of the task; if none is running, return at once.
            timeout_s: Longest time to wait in seconds.
        """
        task = self._tasks.get(name)
        if task is not None:
            await asyncio.wait([task], timeout=timeout_s)

    def _on_done(self, name: str, task: asyncio.Task) -> None:
        del self._tasks[name]
        exc = None if task.cancelled() else task.exception()
        if exc is not None:
            self._log_failure(name, exc)

    def _log_failure(self, name: str, exc: BaseException) -> None:
        self._log.emit(events.InternalError(where=name, error=repr(exc)))
