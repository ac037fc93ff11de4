"""Which routers there are and which of them are alive."""

from __future__ import annotations

from collections.abc import Iterable

from jasminetally._peers import member as member_lib
from jasminetally._peers import node_identity
from jasminetally._peers import peer_messages
from jasminetally._shared import rendezvous

# Routers with at least this share of the largest capacity are preferred, if
# there are enough of them: few routers that see much of the load place it
# better than many that see a sliver.
PREFERRED_SHARE = 0.6
LEAST_PREFERRED = 4


class FleetView:
    """Keep the known routers by name and judge which are alive.

    Decides without I/O. A router counts as alive while it was heard within
    its limit of silence. Nothing that must hold depends on this judgement: it
    selects addresses for callers and who hands out prepaid tokens.

    Args:
        own: Identity of this router.

    Attributes:
        own: Identity of this router.
        leaving: This router is shutting down.
    """

    def __init__(self, own: node_identity.NodeIdentity) -> None:
        self.own = own
        self.leaving = False
        self._members: dict[str, member_lib.Member] = {}

    def on_listed(
        self, identities: Iterable[node_identity.NodeIdentity]
    ) -> None:
        """Note routers that the store lists."""
        for identity in identities:
            self._note(identity)

    def on_status(self, status: peer_messages.Status, now_s: float) -> bool:
        """Note what a router says of itself; return whether it is news."""
        if status.sender.node == self.own.node:
            return False
        member = self._note(status.sender)
        news = member.status is None or (
            member.status.sender != status.sender
            or member.status.ready != status.ready
            or member.status.leaving != status.leaving
        )
        member.identity = status.sender
        member.status = status
        member.last_heard_s = now_s
        member.connection_refused = False
        return news

    def on_connection_refused(self, node: str) -> None:
        """Note that a router's process does not accept connections."""
        member = self._members.get(node)
        if member is not None:
            member.connection_refused = True

    def get(self, node: str) -> member_lib.Member | None:
        """Return the router of an instance, if it is known."""
        return self._members.get(node)

    def members(self) -> list[member_lib.Member]:
        """Return all other routers that are known."""
        return list(self._members.values())

    def alive_members(self, now_s: float) -> list[member_lib.Member]:
        """Return the other routers that are alive."""
        return [
            member
            for member in self._members.values()
            if now_s - member.last_heard_s < member.liveness_timeout_s
            and not member.connection_refused
        ]

    def active_routers(self, now_s: float) -> list[node_identity.NodeIdentity]:
        """Return the routers that are alive and stay.

        This router is always among them while there is no other.
        """
        others = [
            member.identity
            for member in self.alive_members(now_s)
            if member.status is not None and not member.status.leaving
        ]
        if self.leaving and others:
            return others
        return [self.own, *others]

    def ranked_routers(
        self, key: str, now_s: float
    ) -> list[node_identity.NodeIdentity]:
        """Return the staying routers in their order for a key."""
        return sorted(
            self.active_routers(now_s),
            key=lambda found: rendezvous.weight(key, found.node),
        )

    def caller_addresses(self, now_s: float, *, own_ready: bool) -> list[str]:
        """Return the addresses that callers should use."""
        ready = [
            member.identity
            for member in self.alive_members(now_s)
            if member.status is not None
            and member.status.ready
            and not member.status.leaving
        ]
        if own_ready:
            ready.append(self.own)
        return sorted(found.caller_address for found in _preferred(ready))

    def preferred_nodes(self, now_s: float) -> list[str]:
        """Return the names of the routers that callers are sent to."""
        return [found.node for found in _preferred(self.active_routers(now_s))]

    def _note(self, identity: node_identity.NodeIdentity) -> member_lib.Member:
        found = self._members.get(identity.node)
        if identity.node == self.own.node:
            return member_lib.Member(identity)
        if found is None:
            found = member_lib.Member(identity)
            self._members[identity.node] = found
        elif found.identity.incarnation < identity.incarnation:
            # Incarnations of a node sort by the time of their start.
            found.identity = identity
            found.connection_refused = False
        return found


def _preferred(
    routers: list[node_identity.NodeIdentity],
) -> list[node_identity.NodeIdentity]:
    """Return the routers with much capacity if enough are left of them."""
    largest = max((found.capacity for found in routers), default=0.0)
    preferred = [
        found
        for found in routers
        if found.capacity >= PREFERRED_SHARE * largest
    ]
    return preferred if len(preferred) >= LEAST_PREFERRED else routers
