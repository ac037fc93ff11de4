"""Answers to what recovery asked for."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class JournalFetched:
    """What a peer knows about a dead router.

    Attributes:
        dead: Incarnation whose journal it is.
        peer: Incarnation that was asked.
        known: Whether the peer has a journal of it. A call that failed gives
            no event.
        entries: Sequence number and encoded entry of the journal; with the
            sequence number 0 also transfers that the peer got from the dead
            router and has not converted, that it gave to it, and those to it
            in journals of other routers.
    """

    dead_router: str
    peer: str
    known: bool
    entries: tuple[tuple[int, bytes], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class StreamsCancelled:
    """A backend server has no open stream of a dead router any more.

    Attributes:
        dead: Incarnation whose streams were cancelled.
        server: Backend server that was asked.
        tokens: Run -> tokens that it used there, where known.
    """

    dead_router: str
    server: str
    used_tokens: dict[str, int]


@dataclasses.dataclass(frozen=True, slots=True)
class GrantsReclaimed:
    """No account record has an open grant of a dead incarnation any more."""

    dead_router: str


ResultEvent = JournalFetched | StreamsCancelled | GrantsReclaimed
