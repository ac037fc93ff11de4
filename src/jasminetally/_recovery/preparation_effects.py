"""Effects that precede the reclaim of a dead router's grants."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class AcknowledgeDeath:
    """Publish the death in ``router/<self>`` and refuse the dead router.

    The journal store must refuse entries of the incarnation before the death
    is published; messages of the incarnation are refused from then on.

    Attributes:
        incarnation: Incarnation that is confirmed dead.
    """

    incarnation: str


@dataclasses.dataclass(frozen=True, slots=True)
class FetchJournal:
    """Fetch a dead router's journal.

    Attributes:
        dead_router: Incarnation whose journal is needed.
        peer: Incarnation that may have a copy; this router itself for the
            copy in its own journal store.
    """

    dead_router: str
    peer: str


@dataclasses.dataclass(frozen=True, slots=True)
class CancelStreams:
    """Cancel the open streams of a dead router at a backend server.

    Attributes:
        dead_router: Incarnation that started the streams.
        server: Backend server.
        runs: Runs without a known end on the server.
    """

    dead_router: str
    server: str
    runs: tuple[str, ...]


PreparationEffect = AcknowledgeDeath | FetchJournal | CancelStreams
