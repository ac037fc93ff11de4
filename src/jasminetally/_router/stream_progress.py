"""Progress of one answer stream."""

from __future__ import annotations

from typing import NamedTuple


class StreamProgress(NamedTuple):
    """Report of events that were passed on.

    Attributes:
        attempt: Id of the attempt.
        index: Number of the report in the answer, from 0.
        tokens: Content events since the last report.
        last: The answer is complete.
    """

    attempt: str
    index: int
    tokens: int
    last: bool
