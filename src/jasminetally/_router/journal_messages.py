"""Messages to the journal actor."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from jasminetally._recovery import journal_entry


@dataclasses.dataclass(frozen=True, slots=True)
class AppendEntry:
    """Append an entry to the journal replicas.

    Attributes:
        entry: Entry to append.
        on_decided: Called in the actor's thread with whether a peer holds the
            entry; must not block.
    """

    entry: journal_entry.JournalEntry
    on_decided: Callable[[bool], None]


@dataclasses.dataclass(frozen=True, slots=True)
class EntriesDurable:
    """Drop the entries of runs or transfers that the platform has settled.

    Attributes:
        subjects: Ids of the runs or transfers.
    """

    subjects: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ReplicaCandidatesChanged:
    """New set of reachable routers, which can hold journal replicas.

    Attributes:
        peers: Data centres by incarnation.
    """

    peers: dict[str, str]


@dataclasses.dataclass(frozen=True, slots=True)
class BatchReplied:
    """A peer replied to a batch.

    Attributes:
        peer: Incarnation of the peer.
        sequence: Highest sequence number of the batch; 0 if it was empty.
        accepted: Whether the peer holds the batch.
    """

    peer: str
    sequence: int
    accepted: bool


@dataclasses.dataclass(frozen=True, slots=True)
class JournalTick:
    """Run what is due in the journal writer."""
