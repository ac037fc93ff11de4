"""Journal entry that is not durable yet."""

from __future__ import annotations

from typing import NamedTuple


class PendingEntry(NamedTuple):
    """Journal entry that is not durable yet.

    Attributes:
        subject: Id of the run or transfer that the entry belongs to, see
            ``journal_entry.subject_of``.
        body: Encoded entry.
        append_id: Id under which the result of the append is reported.
        appended_s: Monotonic time of the append, seconds.
    """

    subject: str
    body: bytes
    append_id: str
    appended_s: float
