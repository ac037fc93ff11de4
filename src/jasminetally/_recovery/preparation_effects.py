"""What recovery asks for before it reclaims."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class AcknowledgeDeath:
    """Write the death to ``router/<self>`` and refuse its messages.

    The journal store must refuse the incarnation before the write.
    """

    incarnation: str


@dataclasses.dataclass(frozen=True, slots=True)
class FetchJournal:
    """Fetch a dead router's journal from a peer or the own store."""

    dead_router: str
    peer: str


@dataclasses.dataclass(frozen=True, slots=True)
class CancelStreams:
    """Ask a backend server for a dead router's streams and cancel them."""

    dead_router: str
    server: str
    runs: tuple[str, ...]


PreparationEffect = AcknowledgeDeath | FetchJournal | CancelStreams
