"""Entry of one request in an account record."""

from __future__ import annotations

from typing import NamedTuple

CLAIMED = "claimed"
COMPLETED = "completed"
UNKNOWN = "unknown"


class RequestEntry(NamedTuple):
    """State of a request with an idempotency key.

    Attributes:
        state: ``CLAIMED``, ``COMPLETED`` or ``UNKNOWN``.
        fingerprint: Hash of body, event and tier; empty if recovery did not
            find it.
        budget: Budget that pays.
        tokens: Billed tokens if completed, else 0.
        incarnation: Router that claimed or completed the request.
        server: Backend server chosen; empty for a repeatable request.
        changed_wall_s: Wall clock time of the last change, in seconds; used
            for retention only.
        run: Id of the run that was billed, unique within the incarnation. By
            it recovery distinguishes a journal entry that was settled from a
            second run of the same key.
    """

    state: str
    fingerprint: str
    budget: str
    tokens: int
    incarnation: str
    server: str
    changed_wall_s: float
    run: str = ""
