"""Messages to the actor of the journal."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from jasminetally._recovery import journal_entry


@dataclasses.dataclass(frozen=True, slots=True)
class AppendEntry:
    """Append an entry to the journal at the peers.

    Attributes:
        entry: The entry.
        on_decided: Called in the actor's thread with whether a peer holds the
            entry; must not block.
    """

    entry: journal_entry.JournalEntry
    on_decided: Callable[[bool], None]


@dataclasses.dataclass(frozen=True, slots=True)
class EntriesDurable:
    """Runs or transfers whose settlement the platform has."""

    subjects: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ReplicaCandidatesChanged:
    """Reachable routers: incarnation and data centre of each."""

    peers: dict[str, str]


@dataclasses.dataclass(frozen=True, slots=True)
class BatchReplied:
    """A peer replied to a batch.

    Attributes:
        peer: Incarnation of the peer.
        sequence: Highest sequence number of the batch, 0 if it was empty.
        accepted: Whether the peer holds the batch.
    """

    peer: str
    sequence: int
    accepted: bool


@dataclasses.dataclass(frozen=True, slots=True)
class JournalTick:
    """Time has passed."""
