"""In-memory cache of answers to recent requests with an idempotency key."""

from __future__ import annotations

import collections
import threading
from typing import NamedTuple

RETENTION_S = 900.0
MAX_CACHED_BYTES = 16_000_000


class CachedAnswer(NamedTuple):
    """Answer kept for retries.

    Attributes:
        fingerprint: Hash that a retry has to match.
        body: Encoded answer.
        at_s: Monotonic time when it was stored, seconds.
    """

    fingerprint: str
    body: bytes
    at_s: float


class AnswerCache:
    """Cache answers for retries and make concurrent retries wait for the first.

    Two concurrent requests with one key at the same router would run twice; the
    second waits instead. The class is safe for use by several threads.

    Args:
        max_bytes: Largest total size of the cached answers; the oldest are
            evicted beyond it.
    """

    def __init__(self, *, max_bytes: int = MAX_CACHED_BYTES) -> None:
        self._max_bytes = max_bytes
        self._run_ended = threading.Condition()
        self._running: dict[tuple[str, str], str] = {}
        self._answers: collections.OrderedDict[
            tuple[str, str], CachedAnswer
        ] = collections.OrderedDict()
        self._cached_bytes = 0

    def begin_request(
        self,
        client_account: str,
        key_hash: str,
        fingerprint: str,
        *,
        now_s: float,
        wait_s: float,
    ) -> CachedAnswer | str | None:
        """Register a request, or return what is known of an earlier run.

        Args:
            client_account: Name of the client account.
            key_hash: Hash of the idempotency key.
            fingerprint: Hash of the request.
            now_s: Monotonic time, seconds.
            wait_s: Longest wait for the end of a running request with the same
                key and fingerprint, seconds.

        Returns:
            None if the caller has to run the request and then call
            ``end_request``; the cached answer of an earlier run; or the
            fingerprint of a request with this key that is still running.
        """
        identity = (client_account, key_hash)
        with self._run_ended:
            running = self._running.get(identity)
            if running is not None and running == fingerprint:
                self._run_ended.wait_for(
                    lambda: identity not in self._running, wait_s
                )
            running = self._running.get(identity)
            if running is not None:
                return running
            cached = self._answers.get(identity)
            if cached is not None and now_s - cached.at_s < RETENTION_S:
                return cached
            self._running[identity] = fingerprint
            return None

    def end_request(
        self,
        client_account: str,
        key_hash: str,
        body: bytes | None,
        *,
        now_s: float,
    ) -> None:
        """Record the end of a run and cache its answer, if there is one."""
        identity = (client_account, key_hash)
        with self._run_ended:
            fingerprint = self._running.pop(identity, "")
            if body is not None:
                self._add_answer(
                    identity, CachedAnswer(fingerprint, body, now_s)
                )
            self._run_ended.notify_all()

    def find_answer(self, client_account: str, key_hash: str) -> bytes | None:
        """Return the encoded answer to a request, or None."""
        with self._run_ended:
            cached = self._answers.get((client_account, key_hash))
        return None if cached is None else cached.body

    def _add_answer(
        self, identity: tuple[str, str], cached: CachedAnswer
    ) -> None:
        self._remove_answer(identity)
        self._answers[identity] = cached
        self._cached_bytes += len(cached.body)
        oldest = next(iter(self._answers))
        while self._cached_bytes > self._max_bytes or (
            cached.at_s - self._answers[oldest].at_s > RETENTION_S
        ):
            self._remove_answer(oldest)
            oldest = next(iter(self._answers), None)
            if oldest is None:
                return

    def _remove_answer(self, identity: tuple[str, str]) -> None:
        cached = self._answers.pop(identity, None)
        if cached is not None:
            self._cached_bytes -= len(cached.body)
