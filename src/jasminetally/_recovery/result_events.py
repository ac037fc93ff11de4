"""Events that report the results of recovery effects."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class JournalFetched:
    """A peer replied with its copy of a dead router's journal.

    A failed call gives no event.

    Attributes:
        dead_router: Incarnation whose journal was fetched.
        peer: Incarnation that replied.
        known: Whether the peer has a journal of the dead router.
        entries: Sequence number and encoded entry of each journal entry.
            Transfers that the peer has from other sources have the
            sequence number 0: those that it received from the dead router and
            has not converted yet, those that it gave to the dead router, and
            those to the dead router in journals of other routers.
    """

    dead_router: str
    peer: str
    known: bool
    entries: tuple[tuple[int, bytes], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class StreamsCancelled:
    """A backend server has no open stream of a dead router any more.

    Attributes:
        dead_router: Incarnation whose streams were cancelled.
        server: Backend server.
        used_tokens: Run -> tokens that it used on the server, where known.
    """

    dead_router: str
    server: str
    used_tokens: dict[str, int]


@dataclasses.dataclass(frozen=True, slots=True)
class GrantsReclaimed:
    """No account record has an open grant of a dead router any more.

    Attributes:
        dead_router: Incarnation whose grants were reclaimed.
    """

    dead_router: str


ResultEvent = JournalFetched | StreamsCancelled | GrantsReclaimed
