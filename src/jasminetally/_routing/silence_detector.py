"""Detection of connections that went silent."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from jasminetally._routing import attempt as attempt_
    from jasminetally._routing import open_attempts
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
        attempts: open_attempts.OpenAttempts,
    ) -> None:
        self._policy = policy
        self._attempts = attempts
        self._checks: list[tuple[float, str, bool]] = []

    def watch(self, attempt: attempt_.Attempt, *, service: bool) -> None:
        """Start to check an attempt."""
        attempt.next_check_s = self._timeout_at_s(attempt, service=service)
        check = (attempt.next_check_s, attempt.attempt, service)
        heapq.heappush(self._checks, check)

    def reduce_timeouts(self, server: str) -> None:
        """Shorten the limits of all attempts open on a server."""
        for attempt in self._attempts.on_server(server):
            if attempt.progressed and not attempt.reduced_timeout:
                attempt.reduced_timeout = True
                self.watch(attempt, service=False)

    def silent_attempts(self, now_s: float) -> list[attempt_.Attempt]:
        """Return the attempts that have been silent for too long."""
        silent: dict[str, attempt_.Attempt] = {}
        while self._checks and self._checks[0][0] <= now_s:
            check_s, name, service = heapq.heappop(self._checks)
            attempt = self._attempts.get(name)
            if attempt is None or check_s != attempt.next_check_s:
                continue
            if self._timeout_at_s(attempt, service=service) <= now_s:
                silent[name] = attempt
            else:
                self.watch(attempt, service=service)
        return list(silent.values())

    def _timeout_at_s(
        self, attempt: attempt_.Attempt, *, service: bool
    ) -> float:
        if service:
            limit_s = self._policy.service_timeout_s
        elif attempt.acknowledges and not attempt.acknowledged:
            limit_s = self._policy.acknowledgement_timeout_s
        elif attempt.resumed and not attempt.acknowledged:
            limit_s = self._policy.resume_timeout_s
        elif not attempt.next_index:
            limit_s = max(
                self._policy.first_chunk_timeout_s,
                FIRST_CHUNK_FACTOR * attempt.predicted_first_token_s,
            )
        elif attempt.reduced_timeout:
            limit_s = self._policy.reduced_idle_timeout_s
        else:
            limit_s = self._policy.idle_timeout_s
        return attempt.last_progress_s + limit_s
