"""End of a relayed stream."""

from __future__ import annotations

from typing import NamedTuple

FINISHED = "FINISHED"
CALLER_GONE = "CALLER_GONE"
CANCELLED = "CANCELLED"
INVALID = "INVALID"


class StreamEnd(NamedTuple):
    """How the relay of one attempt ended.

    Attributes:
        attempt: Id of the attempt.
        kind: ``FINISHED``, ``CALLER_GONE``, ``CANCELLED``, ``INVALID`` (the
            backend server rejects the request itself) or the name of a
            ``FailureKind``.
        detail: What was observed, for logs and errors.
    """

    attempt: str
    kind: str
    detail: str = ""
