"""Client of the platform's store for use in an event loop."""

from __future__ import annotations

import asyncio
import collections
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

# Two watches occupy a thread each, and so do watches that were given up until
# their timeout; the other threads serve reads and writes.
WORKER_THREADS = 16
# Calls that wait longer than this for a free thread are logged.
MAX_QUEUE_TIME_S = 0.25
# Time between the attempts of a write whose outcome is unknown.
WRITE_RETRY_DELAY_S = 0.25
MAX_WRITE_ATTEMPTS = 4


class AsyncStore:
    """Run the blocking calls of a platform port in worker threads.

    Each change between reachable and unreachable is logged.

    Args:
        platform: Blocking client of the store.
        log: Log of the events.

    Attributes:
        reachable: Whether the last call that ended was answered. An error
            that the store itself reports, such as a version conflict, counts
            as an answer; an outage or an unknown outcome does not.
        last_answer_s: Monotonic time in seconds of the last answer;
            ``-inf`` before the first.
        era: Era of the store in its last answer, see ``PlatformPort``; None
            before the first.
        restored_s: Monotonic time in seconds at which the era was last found
            to have risen; ``-inf`` if it never has.
        last_outage_s: Seconds from the first failed call of the last outage to
            the first answer after it; 0 before the first outage.
        calls: Number of calls by verb and kind of object, attempts that are
            repeated included.
    """

    def __init__(
        self, platform: port.PlatformPort, log: event_log.EventLog
    ) -> None:
        self.reachable = False
        self.last_answer_s = float("-inf")
        self.last_outage_s = 0.0
        self.era: int | None = None
        self.restored_s = float("-inf")
        self.calls: collections.Counter[tuple[str, str]]
        self.calls = collections.Counter()
        self._lost_at_s: float | None = None
        self._platform = platform
        self._log = log
        self._executor = futures.ThreadPoolExecutor(
            WORKER_THREADS, thread_name_prefix="store"
        )
        self._reachable_callbacks: list[Callable[[], None]] = []
        self._restored_callbacks: list[Callable[[], None]] = []

    def add_reachable_callback(self, callback: Callable[[], None]) -> None:
        """Register a function to be called when the store becomes reachable.

        It is called in the event loop at the first answer and at the first
        answer after each store outage.
        """
        self._reachable_callbacks.append(callback)

    def add_restored_callback(self, callback: Callable[[], None]) -> None:
        """Register a function to be called when the era has risen.

        The store has then come back from an older copy of itself: the latest
        writes are gone, and versions are given out again. The function is
        called in the event loop, before the answer that told the era is used.
        """
        self._restored_callbacks.append(callback)

    async def get(self, key: str) -> entry.Entry:
        """Return an object; raise ``NotFoundError`` if there is none."""
        self._count_call("get", key)
        return await self._run_in_thread(lambda: self._platform.get(key))

    async def list(
        self, prefix: str, *, allow_stale: bool = False
    ) -> snapshot.Snapshot:
        """Return all objects whose key starts with the prefix."""
        self._count_call("list_stale" if allow_stale else "list", prefix)
        return await self._run_in_thread(
            lambda: self._platform.list(prefix, allow_stale=allow_stale)
        )

    async def watch(
        self, prefix: str, *, after_version: int, timeout_s: float
    ) -> snapshot.Snapshot:
        """Wait for changes; see ``PlatformPort.watch``."""
        self._count_call("watch", prefix)
        return await self._run_in_thread(
            lambda: self._platform.watch(
                prefix, after_version=after_version, timeout_s=timeout_s
            )
        )

    async def write(
        self, key: str, value: bytes, *, expected_version: int
    ) -> int:
        """Create or replace an object and return its new version.

        A write whose outcome is unknown is sent again with the same content
        and the same expected version, so only one of the attempts can be
        applied. If a later attempt conflicts, the stored content shows
        whether an earlier one was applied.

        Args:
            key: Name of the object.
            value: Content.
            expected_version: Version to replace; 0 to create the object.

        Raises:
            VersionConflictError: The object has another version, and its
                content is not what this call sent.
            NotFoundError: There is no such object.
            OutcomeUnknownError: An attempt may have been applied.
            PlatformError: No attempt was applied, for another reason such as a
                store outage.
        """
        unknown_exc: _errors.OutcomeUnknownError | None = None
        for _ in range(MAX_WRITE_ATTEMPTS):
            self._count_call("write", key)
            try:
                return await self._run_in_thread(
                    lambda: self._create_or_update(key, value, expected_version)
                )
            except _errors.VersionConflictError:
                if unknown_exc is None:
                    raise
                try:
                    stored = await self.get(key)
                except _errors.NotFoundError:
                    raise
                except _errors.PlatformError:
                    break
                if stored.value == value:
                    return stored.version
                raise
            except _errors.OutcomeUnknownError as exc:
                unknown_exc = exc
                await asyncio.sleep(WRITE_RETRY_DELAY_S)
            except _errors.PlatformError:
                # This attempt was not applied, but an earlier one with an
                # unknown outcome may have been.
                if unknown_exc is None:
                    raise
                break
        raise unknown_exc

    async def delete(self, key: str, *, expected_version: int) -> None:
        """Delete an object at an expected version.

        Raises:
            VersionConflictError: The object has another version.
            PlatformError: The call failed; it may have been applied.
        """
        self._count_call("delete", key)
        await self._run_in_thread(
            lambda: self._platform.delete(
                key, expected_version=expected_version
            )
        )

    def distrust_connections(self) -> None:
        """Use new connections from now on; the open ones may be silent."""
        self._platform.distrust_connections()

    def close(self) -> None:
        """Stop the worker threads without waiting for running calls."""
        self._executor.shutdown(wait=False, cancel_futures=True)

    def _count_call(self, verb: str, key: str) -> None:
        self.calls[verb, key.partition("/")[0]] += 1

    def _create_or_update(
        self, key: str, value: bytes, expected_version: int
    ) -> int:
        if not expected_version:
            return self._platform.create(key, value)
        return self._platform.update(
            key, value, expected_version=expected_version
        )

    async def _run_in_thread(self, func: Callable[[], T]) -> T:
        loop = asyncio.get_running_loop()
        queued_s = time.monotonic()

        def call_when_free() -> T:
            waited_s = time.monotonic() - queued_s
            if waited_s > MAX_QUEUE_TIME_S:
                loop.call_soon_threadsafe(self._log_delay, waited_s)
            return func()

        try:
            result = await loop.run_in_executor(self._executor, call_when_free)
        except (
            _errors.PlatformUnavailableError,
            _errors.OutcomeUnknownError,
        ) as exc:
            self._set_reachable(False, str(exc))
            raise
        except _errors.PlatformError:
            self._set_reachable(True, "")
            self._update_era()
            raise
        self._set_reachable(True, "")
        self._update_era()
        return result

    def _log_delay(self, waited_s: float) -> None:
        self._log.emit(
            events.StoreCallDelayed(
                waited_s=round(waited_s, 3), threads=WORKER_THREADS
            )
        )

    def _update_era(self) -> None:
        before, self.era = self.era, self._platform.era
        if before is None or self.era <= before:
            return
        self.restored_s = time.monotonic()
        self._log.emit(events.StoreRestored(before=before, era=self.era))
        for callback in self._restored_callbacks:
            callback()

    def _set_reachable(self, reachable: bool, reason: str) -> None:
        if reachable:
            self.last_answer_s = time.monotonic()
        if reachable == self.reachable:
            return
        self.reachable = reachable
        if reachable:
            if self._lost_at_s is not None:
                self.last_outage_s = self.last_answer_s - self._lost_at_s
            self._log.emit(events.StoreReachable())
            for callback in self._reachable_callbacks:
                callback()
        else:
            self._lost_at_s = time.monotonic()
            self._log.emit(events.StoreLost(reason=reason))
