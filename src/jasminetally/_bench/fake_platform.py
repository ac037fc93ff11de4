"""Simulated platform with delays, rate limits, outages and lost replies."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

from jasminetally import _errors
from jasminetally._bench import platform_watch
from jasminetally._platform import entry
from jasminetally._platform import memory

if TYPE_CHECKING:
    from collections.abc import Callable
    import random

    from jasminetally._bench import event_queue
    from jasminetally._bench import fault_plan
    from jasminetally._bench import host
    from jasminetally._bench import network

WRITE_LIMIT_PER_S = 400
READ_LIMIT_PER_S = 2000
CALL_TIMEOUT_S = 1.0
WATCH_RETRY_S = 1.0


class FakePlatform:
    """Asynchronous interface of a ``MemoryPlatform`` for simulated hosts.

    The ``reply`` callbacks get the result of the call or a ``PlatformError``.

    Attributes:
        store: Stored objects. Direct access is not counted and has no faults.
        writes: Writes by hosts that passed the rate limit, including failed
            ones.
        reads: Reads by hosts that passed the rate limit. A watch that returned
            counts as one read.
        peak_writes_per_s: Largest number of writes within one second.
        write_listeners: Called with the key of each changed object.
    """

    def __init__(
        self,
        queue: event_queue.EventQueue,
        net: network.Network,
        plan: fault_plan.FaultPlan,
        rng: random.Random,
    ) -> None:
        self.store = memory.MemoryPlatform()
        self.writes = 0
        self.reads = 0
        self.peak_writes_per_s = 0
        self.write_listeners: list[Callable[[str], None]] = []
        self._queue = queue
        self._net = net
        self._plan = plan
        self._rng = rng
        self._recent_writes: collections.deque[float] = collections.deque()
        self._recent_reads: collections.deque[float] = collections.deque()
        self._changed_keys: list[str] = []
        self._watches: list[platform_watch.PlatformWatch] = []

    def get(self, caller: host.Host, key: str, reply: Callable) -> None:
        """Read one object."""
        self._call_platform(caller, reply, False, lambda: self.store.get(key))

    def write(
        self,
        caller: host.Host,
        key: str,
        value: bytes,
        expected_version: int,
        reply: Callable,
    ) -> None:
        """Write one object; version 0 creates it."""

        def run() -> int:
            version = self.put(key, value, expected_version)
            self._notify_watchers(key)
            return version

        self._call_platform(caller, reply, True, run)

    def put(self, key: str, value: bytes, expected_version: int) -> int:
        """Write one object immediately and without faults."""
        if expected_version == 0:
            return self.store.create(key, value)
        return self.store.update(key, value, expected_version=expected_version)

    def operator_write(self, key: str, value: bytes) -> bool:
        """Write an object as the operator; return False in an outage."""
        if self._is_active(self._plan.outages):
            return False
        try:
            version = self.store.get(key).version
        except _errors.NotFoundError:
            version = 0
        self.put(key, value, version)
        self._notify_watchers(key)
        return True

    def operator_delete(self, key: str) -> None:
        """Delete an object immediately, as the platform itself does."""
        version = self.store.get(key).version
        self.store.delete(key, expected_version=version)
        self._notify_watchers(key)

    def watch(self, caller: host.Host, prefix: str, reply: Callable) -> None:
        """Watch the keys with a prefix.

        The callback gets the newest state of each changed entry; states in
        between may be skipped.
        """
        watch = platform_watch.PlatformWatch(caller, prefix, reply)
        self._watches.append(watch)
        self._schedule_delivery(self._delay_s(), watch)

    def _notify_watchers(self, key: str) -> None:
        self._changed_keys.append(key)
        for callback in self.write_listeners:
            callback(key)
        self._watches = [each for each in self._watches if each.caller.alive]
        for watch in self._watches:
            if key.startswith(watch.prefix):
                self._schedule_delivery(self._delay_s(), watch)

    def _schedule_delivery(
        self, delay_s: float, watch: platform_watch.PlatformWatch
    ) -> None:
        if not watch.scheduled:
            watch.scheduled = True
            self._queue.call_after(delay_s, self._deliver_changes, watch)

    def _deliver_changes(self, watch: platform_watch.PlatformWatch) -> None:
        watch.scheduled = False
        if not watch.caller.alive:
            return
        reachable = self._net.reaches_platform(watch.caller)
        if not reachable or self._is_active(self._plan.outages):
            self._schedule_delivery(WATCH_RETRY_S, watch)
            return
        keys = dict.fromkeys(
            key
            for key in reversed(self._changed_keys[watch.processed_changes :])
            if key.startswith(watch.prefix)
        )
        watch.processed_changes = len(self._changed_keys)
        if not keys:
            return
        self.reads += 1
        for key in reversed(keys):
            watch.caller.deliver(watch.reply, self._read_latest(key))

    def _read_latest(self, key: str) -> entry.Entry:
        try:
            return self.store.get(key)
        except _errors.NotFoundError:
            return entry.Entry(key, None, 0)

    def _call_platform(
        self,
        caller: host.Host,
        reply: Callable,
        is_write: bool,
        operation: Callable,
    ) -> None:
        if not self._net.reaches_platform(caller):
            # On an open connection the caller cannot tell whether the call
            # arrived, so the outcome is unknown.
            error = _errors.OutcomeUnknownError("no reply within the timeout")
            caller.call_after(CALL_TIMEOUT_S, reply, error)
            return
        if self._is_active(self._plan.outages):
            error = _errors.PlatformUnavailableError("connection refused")
            caller.call_after(self._delay_s() * 2, reply, error)
            return
        self._queue.call_after(
            self._delay_s(),
            self._run_at_platform,
            caller,
            reply,
            is_write,
            operation,
        )

    def _run_at_platform(
        self,
        caller: host.Host,
        reply: Callable,
        is_write: bool,
        operation: Callable,
    ) -> None:
        result = self._check_rate_limit(is_write)
        if result is None:
            try:
                result = operation()
            except _errors.PlatformError as exc:
                result = exc
        lost = is_write and self._rng.random() < self._plan.lost_reply_share
        if lost or not self._net.reaches_platform(caller):
            error = _errors.OutcomeUnknownError("no reply within the timeout")
            caller.call_after(CALL_TIMEOUT_S, reply, error)
            return
        caller.call_after(self._delay_s(), reply, result)

    def _check_rate_limit(
        self, is_write: bool
    ) -> _errors.RateLimitedError | None:
        recent = self._recent_writes if is_write else self._recent_reads
        while recent and recent[0] <= self._queue.now_s - 1.0:
            recent.popleft()
        limit = WRITE_LIMIT_PER_S if is_write else READ_LIMIT_PER_S
        if len(recent) >= limit:
            return _errors.RateLimitedError(
                f"limit of {limit} calls per second reached", retry_after_s=0.5
            )
        recent.append(self._queue.now_s)
        if is_write:
            self.writes += 1
            self.peak_writes_per_s = max(self.peak_writes_per_s, len(recent))
        else:
            self.reads += 1
        return None

    def _is_active(self, windows: fault_plan.FaultWindows) -> bool:
        return any(each.covers(self._queue.now_s) for each in windows)

    def _delay_s(self) -> float:
        if self._is_active(self._plan.slow_periods):
            return self._rng.uniform(0.05, 0.25)
        return self._rng.uniform(0.001, 0.004)
