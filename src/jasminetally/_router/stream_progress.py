"""Progress of one answer stream."""

from __future__ import annotations

from typing import NamedTuple


class StreamProgress(NamedTuple):
    """Report of relayed events.

    Attributes:
        attempt: Id of the attempt.
        index: Number of the report in the answer, from 0.
        tokens: Content events since the last report.
        last: Whether the answer is complete.
    """

    attempt: str
    index: int
    tokens: int
    last: bool
