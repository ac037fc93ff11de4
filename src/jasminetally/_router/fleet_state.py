"""What a router knows about itself and the other routers."""

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

    It is written by the actor of configuration and membership and read by all
    others; each attribute is replaced as a whole, so readers need no lock.

    Attributes:
        incarnation: Own incarnation; empty before the registration.
        peer_address: Own address for peers.
        revision: Revision in force.
        config_value: Encoded configuration in force.
        config_lookup: Look-ups in the configuration in force.
        peers: Status of the other routers by incarnation.
        reachable: Incarnations of the peers that respond.
        deaths: Incarnations that are confirmed dead.
        addresses: Addresses for callers.
        gossip_items: Gossip items that each reply to a probe carries.
        state: Own state.
        serving: Set while callers are served.
        draining: Set from the start of the shutdown on.
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
        """Whether other routers can hold a journal of this one."""
        return len(self.peers) >= journal_writer.PEER_COUNT and bool(
            self.reachable
        )

    def find_status(self, peer: str) -> router_status.RouterStatus | None:
        """Return the status of a peer by incarnation or instance."""
        by_incarnation = self.peers.get(peer)
        if by_incarnation is not None:
            return by_incarnation
        for status in self.peers.values():
            if status.instance == peer:
                return status
        return None
