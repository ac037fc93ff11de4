"""Peers that hold a router's journal."""

from __future__ import annotations

import msgspec


class JournalPeerSet(msgspec.Struct, frozen=True, array_like=True, tag="p"):
    """Peers that hold the journal from now on.

    It precedes all entries that were not durable when the peers changed, so
    that a peer that knows an epoch has everything from before it. Recovery
    needs the journals of both peers of the newest epoch, because an entry
    counts once one of them has acknowledged it.

    Attributes:
        epoch: Number of the choice, counted from 1.
        peers: Incarnations of the peers.
    """

    epoch: int
    peers: tuple[str, ...]
