"""Journal entries that are sent to a peer in one message."""

from __future__ import annotations

from typing import NamedTuple


class JournalBatch(NamedTuple):
    """Journal entries that are sent to a peer in one message.

    Attributes:
        writer: Incarnation that writes the journal.
        durable_below: Sequence number below which the entries are settled in
            the platform, so that the peer may drop them.
        entries: Sequence number and encoded entry of each, ascending.
    """

    writer: str
    durable_below: int
    entries: tuple[tuple[int, bytes], ...]
