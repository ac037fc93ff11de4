"""Answers to what recovery asked for."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class JournalFetched:
    """A peer's copy of a dead router's journal.

    Attributes:
        dead: Incarnation whose journal it is.
        peer: Incarnation that was asked.
        entries: Sequence number and encoded entry; None if the peer has no
            journal of it. A call that failed gives no event.
    """

    dead: str
    peer: str
    entries: tuple[tuple[int, bytes], ...] | None


@dataclasses.dataclass(frozen=True, slots=True)
class StreamsCancelled:
    """A backend server has no open stream of a dead router any more.

    Attributes:
        dead: Incarnation whose streams were cancelled.
        server: Backend server that was asked.
        tokens: Run -> tokens that it used there, where known.
    """

    dead: str
    server: str
    tokens: dict[str, int]


@dataclasses.dataclass(frozen=True, slots=True)
class GrantsReclaimed:
    """No account record has an open grant of a dead incarnation any more."""

    dead: str


AnswerEvent = JournalFetched | StreamsCancelled | GrantsReclaimed
