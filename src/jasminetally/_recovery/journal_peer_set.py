"""Journal entry that names the peers of a journal."""

from __future__ import annotations

import msgspec


class JournalPeerSet(msgspec.Struct, frozen=True, array_like=True, tag="p"):
    """Journal entry that names the peers which hold the journal from now on.

    A peer gets it together with all earlier entries that it lacks and that
    are not durable, so a peer that knows an epoch holds every entry from
    before it that recovery may need. Recovery needs the journals of both peers
    of the newest epoch, because an entry counts as acknowledged when one of
    them holds it.

    Attributes:
        epoch: Number of the peer set, counted from 1.
        peers: Incarnations of the peers.
    """

    epoch: int
    peers: tuple[str, ...]
