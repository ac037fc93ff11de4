"""Answers of recent requests that have an idempotency key."""

from __future__ import annotations

import collections
import threading
from typing import NamedTuple

RETENTION_S = 900.0
LIMIT_BYTES = 16_000_000


class Held(NamedTuple):
    """Answer kept for retries.

    Attributes:
        fingerprint: Hash that a retry has to match.
        body: Stored form of the answer.
        at_s: Monotonic time when it was stored.
    """

    fingerprint: str
    body: bytes
    at_s: float


class AnswerBook:
    """Keep answers for retries and let concurrent retries wait for the first.

    Two requests with one key at the same router would run twice; the second
    waits instead. Safe for use by several threads.
    """

    def __init__(self, *, limit_bytes: int = LIMIT_BYTES) -> None:
        self._limit_bytes = limit_bytes
        self._changed = threading.Condition()
        self._running: dict[tuple[str, str], str] = {}
        self._held: collections.OrderedDict[tuple[str, str], Held] = (
            collections.OrderedDict()
        )
        self._bytes = 0

    def begin(
        self,
        client_account: str,
        key_hash: str,
        fingerprint: str,
        *,
        now_s: float,
        wait_s: float,
    ) -> Held | str | None:
        """Register a request, or return what is known of an earlier one.

        Args:
            client_account: Name of the client account.
            key_hash: Hash of the idempotency key.
            fingerprint: Hash of the request.
            now_s: Monotonic time.
            wait_s: Longest wait for the same request to end.

        Returns:
            None when the caller of this method has to run the request and
            call ``end``; the answer of an earlier run; or the fingerprint of a
            run that is still going on.
        """
        identity = (client_account, key_hash)
        with self._changed:
            running = self._running.get(identity)
            if running is not None and running == fingerprint:
                self._changed.wait_for(
                    lambda: identity not in self._running, wait_s
                )
            running = self._running.get(identity)
            if running is not None:
                return running
            held = self._held.get(identity)
            if held is not None and now_s - held.at_s < RETENTION_S:
                return held
            self._running[identity] = fingerprint
            return None

    def end(
        self,
        client_account: str,
        key_hash: str,
        body: bytes | None,
        *,
        now_s: float,
    ) -> None:
        """Note the end of a run, with its answer if there is one."""
        identity = (client_account, key_hash)
        with self._changed:
            fingerprint = self._running.pop(identity, "")
            if body is not None:
                self._store(identity, Held(fingerprint, body, now_s))
            self._changed.notify_all()

    def find(self, client_account: str, key_hash: str) -> bytes | None:
        """Return the stored answer of a request, or None."""
        with self._changed:
            held = self._held.get((client_account, key_hash))
        return None if held is None else held.body

    def _store(self, identity: tuple[str, str], held: Held) -> None:
        self._drop(identity)
        self._held[identity] = held
        self._bytes += len(held.body)
        oldest = next(iter(self._held))
        while self._bytes > self._limit_bytes or (
            held.at_s - self._held[oldest].at_s > RETENTION_S
        ):
            self._drop(oldest)
            oldest = next(iter(self._held), None)
            if oldest is None:
                return

    def _drop(self, identity: tuple[str, str]) -> None:
        held = self._held.pop(identity, None)
        if held is not None:
            self._bytes -= len(held.body)
