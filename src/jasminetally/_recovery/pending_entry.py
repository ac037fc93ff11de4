"""Journal entry that is not durable yet."""

from __future__ import annotations

from typing import NamedTuple


class PendingEntry(NamedTuple):
    """Journal entry that is not durable yet.

    Attributes:
        subject: Run or transfer that it is about.
        body: Encoded entry.
        ticket: Name under which its fate is reported.
        appended_s: Monotonic time of the append, seconds.
    """

    subject: str
    body: bytes
    append_id: str
    appended_s: float
