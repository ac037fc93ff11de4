"""Part of a journal as it goes to a peer."""

from __future__ import annotations

from typing import NamedTuple


class JournalBatch(NamedTuple):
    """Part of a journal as it goes to a peer.

    Attributes:
        writer: Incarnation whose journal it is.
        durable_below: Entries with a lower sequence number are settled in the
            platform and no longer needed.
        entries: Sequence number and encoded entry.
    """

    writer: str
    durable_below: int
    entries: tuple[tuple[int, bytes], ...]
