"""Calls to the platform's store from an event loop."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from concurrent import futures
import time
from typing import TypeVar

from jasminetally import _errors
from jasminetally._observe import event_log
from jasminetally._observe import events
from jasminetally._platform import entry
from jasminetally._platform import port
from jasminetally._platform import snapshot

T = TypeVar("T")

# Reads, writes and two watches at once.
WORKER_THREADS = 6
# Waits between attempts of a write whose outcome is unknown.
WRITE_RETRY_DELAY_S = 0.25
WRITE_ATTEMPTS = 4


class AsyncStore:
    """Run the blocking calls of a platform port in threads.

    Attributes:
        reachable: The last call was answered.
        last_answer_s: Monotonic time of the last answer.
    """

    def __init__(
        self, platform: port.PlatformPort, log: event_log.EventLog
    ) -> None:
        self.reachable = False
        self.last_answer_s = float("-inf")
        self._platform = platform
        self._log = log
        self._executor = futures.ThreadPoolExecutor(
            WORKER_THREADS, thread_name_prefix="store"
        )
        self._reachable_callbacks: list[Callable[[], None]] = []

    def add_reachable_callback(self, call: Callable[[], None]) -> None:
        """Have a function called whenever the store answers again."""
        self._reachable_callbacks.append(call)

    async def get(self, key: str) -> entry.Entry:
        """Return an object; raise ``NotFoundError`` if there is none."""
        return await self._run_in_thread(lambda: self._platform.get(key))

    async def list(
        self, prefix: str, *, allow_stale: bool = False
    ) -> snapshot.Snapshot:
        """Return all objects whose key starts with the prefix."""
        return await self._run_in_thread(
            lambda: self._platform.list(prefix, allow_stale=allow_stale)
        )

    async def watch(
        self, prefix: str, *, after_version: int, timeout_s: float
    ) -> snapshot.Snapshot:
        """Wait for changes; see ``PlatformPort.watch``."""
        return await self._run_in_thread(
            lambda: self._platform.watch(
                prefix, after_version=after_version, timeout_s=timeout_s
            )
        )

    async def write(
        self, key: str, value: bytes, *, expected_version: int
    ) -> int:
        """Store an object under a condition and return its version.

        A write without an answer is sent again under the same condition: only
        one of the two can be applied, and their content is equal.

        Args:
            key: Name of the object.
            value: Content.
            expected_version: Version that is replaced; 0 to create.

        Raises:
            VersionConflictError: Another writer's content is stored.
            PlatformError: The store can't be reached, or the outcome is still
                unknown.
        """
        unknown_exc: _errors.OutcomeUnknownError | None = None
        for _ in range(WRITE_ATTEMPTS):
            try:
                return await self._run_in_thread(
                    lambda: self._create_or_update(key, value, expected_version)
                )
            except _errors.VersionConflictError:
                if unknown_exc is None:
                    raise
                found = await self.get(key)
                if found.value == value:
                    return found.version
                raise
            except _errors.OutcomeUnknownError as exc:
                unknown_exc = exc
                await asyncio.sleep(WRITE_RETRY_DELAY_S)
            except _errors.PlatformError:
                # Nothing was done now, but an earlier attempt may still be.
                if unknown_exc is None:
                    raise
                break
        raise unknown_exc

    def close(self) -> None:
        """Stop the threads without waiting for calls under way."""
        self._executor.shutdown(wait=False, cancel_futures=True)

    def _create_or_update(
        self, key: str, value: bytes, expected_version: int
    ) -> int:
        if not expected_version:
            return self._platform.create(key, value)
        return self._platform.update(
            key, value, expected_version=expected_version
        )

    async def _run_in_thread(self, call: Callable[[], T]) -> T:
        loop = asyncio.get_running_loop()
        try:
            result = await loop.run_in_executor(self._executor, call)
        except (
            _errors.PlatformUnavailableError,
            _errors.OutcomeUnknownError,
        ) as exc:
            self._set_reachable(False, str(exc))
            raise
        except _errors.PlatformError:
            self._set_reachable(True, "")
            raise
        self._set_reachable(True, "")
        return result

    def _set_reachable(self, reachable: bool, reason: str) -> None:
        if reachable:
            self.last_answer_s = time.monotonic()
        if reachable == self.reachable:
            return
        self.reachable = reachable
        if reachable:
            self._log.emit(events.StoreReachable())
            for call in self._reachable_callbacks:
                call()
        else:
            self._log.emit(events.StoreLost(reason=reason))
