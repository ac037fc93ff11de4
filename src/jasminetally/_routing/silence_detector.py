"""Detection of attempts whose connection went silent."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from jasminetally._routing import attempt as attempt_
    from jasminetally._routing import open_attempts
    from jasminetally._routing import routing_policy

# A first chunk may take this multiple of its predicted time.
FIRST_CHUNK_FACTOR = 4.0


class SilenceDetector:
    """Finds attempts that made no progress within their timeout.

    A heap holds the time of the next check of each attempt. The timeout is
    recomputed only when that time is reached, so chunks need no update of the
    heap, except for the first one, which shortens the timeout.
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

    def schedule_check(
        self, attempt: attempt_.Attempt, *, service: bool
    ) -> None:
        """Schedule the next timeout check of an attempt."""
        attempt.next_check_s = self._timeout_at_s(attempt, service=service)
        check = (attempt.next_check_s, attempt.attempt, service)
        heapq.heappush(self._checks, check)

    def reduce_timeouts(self, server: str) -> None:
        """Shorten the idle timeouts of all open attempts on a server."""
        for attempt in self._attempts.on_server(server):
            if attempt.progressed and not attempt.reduced_timeout:
                attempt.reduced_timeout = True
                self.schedule_check(attempt, service=False)

    def silent_attempts(self, now_s: float) -> list[attempt_.Attempt]:
        """Return the attempts whose timeout has passed."""
        silent: dict[str, attempt_.Attempt] = {}
        while self._checks and self._checks[0][0] <= now_s:
            check_s, name, service = heapq.heappop(self._checks)
            attempt = self._attempts.get(name)
            if attempt is None or check_s != attempt.next_check_s:
                continue
            if self._timeout_at_s(attempt, service=service) <= now_s:
                silent[name] = attempt
            else:
                self.schedule_check(attempt, service=service)
        return list(silent.values())

    def _timeout_at_s(
        self, attempt: attempt_.Attempt, *, service: bool
    ) -> float:
        if service:
            timeout_s = self._policy.service_timeout_s
        elif attempt.acknowledges and not attempt.acknowledged:
            timeout_s = self._policy.acknowledgement_timeout_s
        elif attempt.resumed and not attempt.acknowledged:
            timeout_s = self._policy.resume_timeout_s
        elif not attempt.next_index:
            timeout_s = max(
                self._policy.first_chunk_timeout_s,
                FIRST_CHUNK_FACTOR * attempt.predicted_first_token_s,
            )
        elif attempt.reduced_timeout:
            timeout_s = self._policy.reduced_idle_timeout_s
        else:
            timeout_s = self._policy.idle_timeout_s
        return attempt.last_progress_s + timeout_s
