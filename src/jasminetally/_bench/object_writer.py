"""Conditional updates of a platform object, used by the baselines."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

import msgspec

from jasminetally import _errors

if TYPE_CHECKING:
    from collections.abc import Callable
    import random

    from jasminetally._bench import fake_platform
    from jasminetally._bench import host

RETRY_DELAY_S = 0.2


class ObjectWriter:
    """Applies changes to one object in order, one write at a time.

    The object holds the sequence number of each writer's last write. A writer
    that lost a reply reads the object to learn whether its write succeeded.

    Attributes:
        document: Decoded object as last read or written.
    """

    def __init__(
        self,
        process: host.Host,
        platform: fake_platform.FakePlatform,
        key: str,
        rng: random.Random,
    ) -> None:
        self.document: dict = {}
        self._process = process
        self._platform = platform
        self._key = key
        self._rng = rng
        self._version = 0
        self._sequence = 0
        self._pending: collections.deque = collections.deque()
        self._busy = False

    @property
    def busy(self) -> bool:
        """Whether a change is being written."""
        return self._busy

    def submit_change(
        self,
        change: Callable[[dict], None],
        done: Callable[[bool], None],
        *,
        deadline_s: float,
    ) -> None:
        """Queue a change of the object.

        Args:
            change: Changes the decoded object in place; called again for
                each retry.
            done: Called with whether the object was written; False if the
                platform could not be reached by the deadline.
            deadline_s: Virtual time after which nothing is retried.
        """
        self._pending.append((change, done, deadline_s))
        if not self._busy:
            self._busy = True
            self._write_next()

    def refresh(self) -> None:
        """Read the object unless a change is being written."""

        def on_read(result: object) -> None:
            if not self._busy and not isinstance(result, Exception):
                self._version = result.version
                self.document = msgspec.json.decode(result.value)

        self._platform.get(self._process, self._key, on_read)

    def _write_next(self) -> None:
        change = self._pending[0][0]
        document = msgspec.json.decode(msgspec.json.encode(self.document))
        change(document)
        self._sequence += 1
        writers = document.setdefault("writers", {})
        writers[self._process.incarnation] = self._sequence
        self._platform.write(
            self._process,
            self._key,
            msgspec.json.encode(document),
            self._version,
            lambda result: self._on_written(result, document),
        )

    def _on_written(self, result: object, document: dict) -> None:
        match result:
            case int():
                self._version = result
                self.document = document
                self._complete_change(True)
            case _errors.VersionConflictError():
                self._schedule_read(self._rng.uniform(0.0, 0.01))
            case _errors.OutcomeUnknownError():
                self._schedule_read(0.0)
            case _errors.RateLimitedError():
                self._schedule_write(result.retry_after_s)
            case _:
                self._schedule_write(RETRY_DELAY_S)

    def _schedule_write(self, delay_s: float) -> None:
        if self._process.now_s + delay_s > self._pending[0][2]:
            self._complete_change(False)
            return
        self._process.call_after(delay_s, self._write_next)

    def _schedule_read(self, delay_s: float) -> None:
        self._process.call_after(delay_s, self._read_object)

    def _read_object(self) -> None:
        self._platform.get(self._process, self._key, self._on_read)

    def _on_read(self, result: object) -> None:
        if isinstance(result, _errors.NotFoundError):
            self._schedule_write(0.0)
            return
        if isinstance(result, _errors.PlatformError):
            if self._process.now_s > self._pending[0][2]:
                self._complete_change(False)
                return
            self._schedule_read(RETRY_DELAY_S)
            return
        self._version = result.version
        self.document = msgspec.json.decode(result.value)
        writers = self.document["writers"]
        if writers.get(self._process.incarnation, 0) >= self._sequence:
            self._complete_change(True)
            return
        self._schedule_write(0.0)

    def _complete_change(self, written: bool) -> None:
        done = self._pending.popleft()[1]
        self._busy = bool(self._pending)
        if self._busy:
            self._write_next()
        done(written)
