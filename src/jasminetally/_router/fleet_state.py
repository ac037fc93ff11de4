"""State of a router and of its peers, shared by the router's threads."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING

from jasminetally._membership import addresses
from jasminetally._recovery import journal_writer

if TYPE_CHECKING:
    from jasminetally._membership import router_status
    from jasminetally._router import config_lookup
    from jasminetally._wire.gen.peer import ttypes


class FleetState:
    """State that the threads of a router share.

    It is written by the control actor and read by all other threads. Each
    attribute is replaced as a whole, so readers need no lock.

    Args:
        instance: Instance of this router.
        data_centre: Data centre of this router.

    Attributes:
        instance: Instance of this router.
        data_centre: Data centre of this router.
        incarnation: Incarnation of this router; empty before its registration.
        peer_address: Address of this router for peers.
        http_address: Address of this router for callers.
        revision: Revision in force.
        config_value: Encoded configuration in force.
        config_lookup: Look-ups in the configuration in force; None before the
            first one.
        peers: Status of the other routers by incarnation.
        reachable: Incarnations of the peers that respond.
        deaths: Incarnations that are confirmed dead.
        addresses: Addresses of routers for callers.
        gossip_items: Gossip items that each reply to a probe contains.
        state: State of this router.
        serving: Set while callers are served.
        draining: Set once the drain begins.
    """

    def __init__(self, *, instance: str, data_centre: str) -> None:
        self.instance = instance
        self.data_centre = data_centre
        self.incarnation = ""
        self.peer_address = ""
        self.http_address = ""
        self.revision = 0
        self.config_value: bytes | None = None
        self.config_lookup: config_lookup.ConfigLookup | None = None
        self.peers: dict[str, router_status.RouterStatus] = {}
        self.reachable: tuple[str, ...] = ()
        self.deaths: frozenset[str] = frozenset()
        self.addresses = addresses.Addresses((), 0.0)
        self.gossip_items: list[ttypes.NewsItem] = []
        self.state = "starting"
        self.serving = threading.Event()
        self.draining = threading.Event()

    @property
    def can_journal(self) -> bool:
        """Whether enough peers exist and one is reachable to hold a journal."""
        return len(self.peers) >= journal_writer.JOURNAL_PEER_COUNT and bool(
            self.reachable
        )

    def find_status(self, peer: str) -> router_status.RouterStatus | None:
        """Return the status of a peer by incarnation or instance, or None."""
        by_incarnation = self.peers.get(peer)
        if by_incarnation is not None:
            return by_incarnation
        for status in self.peers.values():
            if status.instance == peer:
                return status
        return None
