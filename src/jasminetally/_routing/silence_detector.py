"""Detection of connections that went silent."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from jasminetally._routing import attempt as attempt_
    from jasminetally._routing import attempt_book
    from jasminetally._routing import routing_policy

# A first chunk may take this multiple of its prediction.
FIRST_CHUNK_FACTOR = 4.0


class SilenceDetector:
    """Finds attempts without progress within their limits.

    Checks are due times in a heap that are recomputed when they are reached,
    so that only the first chunk of an attempt costs anything here: it
    shortens the limit.
    """

    def __init__(
        self,
        *,
        policy: routing_policy.RoutingPolicy,
        book: attempt_book.AttemptBook,
    ) -> None:
        self._policy = policy
        self._book = book
        self._checks: list[tuple[float, str, bool]] = []

    def watch(self, attempt: attempt_.Attempt, *, service: bool) -> None:
        """Start to check an attempt."""
        attempt.check_s = self._due_s(attempt, service=service)
        check = (attempt.check_s, attempt.attempt, service)
        heapq.heappush(self._checks, check)

    def suspect(self, server: str) -> None:
        """Shorten the limits of all attempts open on a server."""
        for attempt in self._book.on_server(server):
            if attempt.progressed and not attempt.suspect:
                attempt.suspect = True
                self.watch(attempt, service=False)

    def due(self, now_s: float) -> list[attempt_.Attempt]:
        """Return the attempts that have been silent for too long."""
        silent: dict[str, attempt_.Attempt] = {}
        while self._checks and self._checks[0][0] <= now_s:
            check_s, name, service = heapq.heappop(self._checks)
            attempt = self._book.get(name)
            if attempt is None or check_s != attempt.check_s:
                continue
            if self._due_s(attempt, service=service) <= now_s:
                silent[name] = attempt
            else:
                self.watch(attempt, service=service)
        return list(silent.values())

    def _due_s(self, attempt: attempt_.Attempt, *, service: bool) -> float:
        if service:
            limit_s = self._policy.service_timeout_s
        elif attempt.acknowledges and not attempt.accepted:
            limit_s = self._policy.accept_timeout_s
        elif attempt.resumed and not attempt.accepted:
            limit_s = self._policy.resume_timeout_s
        elif not attempt.next_index:
            limit_s = max(
                self._policy.first_chunk_timeout_s,
                FIRST_CHUNK_FACTOR * attempt.first_token_s,
            )
        elif attempt.suspect:
            limit_s = self._policy.suspect_idle_timeout_s
        else:
            limit_s = self._policy.idle_timeout_s
        return attempt.progress_s + limit_s
