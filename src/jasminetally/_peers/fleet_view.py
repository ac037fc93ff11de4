"""The known routers and which of them are alive."""

from __future__ import annotations

from collections.abc import Iterable

from jasminetally._peers import member as member_lib
from jasminetally._peers import node_identity
from jasminetally._peers import peer_messages
from jasminetally._peers import reachable_services
from jasminetally._shared import rendezvous

# Routers with at least this share of the largest capacity are preferred for
# callers: a few routers that each see much of the load distribute it better
# than many that each see little of it.
MIN_PREFERRED_CAPACITY_RATIO = 0.6
# Time for which a router that is not heard still counts as one that may send
# requests: it may only be cut off from this one.
CUT_OFF_ROUTER_TTL_S = 60.0
# With fewer preferred routers, callers are sent to all routers.
MIN_PREFERRED_ROUTERS = 4


class FleetView:
    """Keeps the known routers by name and determines which are alive.

    Performs no I/O. A router is considered alive if its last status is not
    older than its liveness timeout and it has not refused a connection since.
    Correctness does not depend on this judgement: it only determines the
    addresses for callers and which router should hand out prepaid tokens.

    Args:
        own: Identity of this router.

    Attributes:
        own: Identity of this router.
        leaving: Whether this router is shutting down.
    """

    def __init__(self, own: node_identity.NodeIdentity) -> None:
        self.own = own
        self.leaving = False
        self._members: dict[str, member_lib.Member] = {}

    def on_listed(
        self, identities: Iterable[node_identity.NodeIdentity], now_s: float
    ) -> None:
        """Add routers that the store or another router lists.

        Args:
            identities: The routers.
            now_s: Monotonic time in seconds.
        """
        for identity in identities:
            member = self._add_or_update(identity)
            if member.first_listed_s is None:
                member.first_listed_s = now_s

    def on_status(self, status: peer_messages.Status, now_s: float) -> bool:
        """Record a status that another router sent.

        Args:
            status: The status; one of this router itself is ignored.
            now_s: Monotonic time in seconds.

        Returns:
            Whether the router is new or its identity, readiness or shutdown
            state has changed.
        """
        if status.sender.node == self.own.node:
            return False
        member = self._add_or_update(status.sender)
        changed = member.status is None or (
            member.status.sender != status.sender
            or member.status.ready != status.ready
            or member.status.leaving != status.leaving
        )
        member.identity = status.sender
        member.status = status
        member.last_heard_s = now_s
        member.connection_refused = False
        return changed

    def on_connection_refused(self, node: str) -> None:
        """Record that an instance refused a connection from this router."""
        member = self._members.get(node)
        if member is not None:
            member.connection_refused = True

    def get(self, node: str) -> member_lib.Member | None:
        """Return the router of an instance; None if it is not known."""
        return self._members.get(node)

    def members(self) -> list[member_lib.Member]:
        """Return all other known routers."""
        return list(self._members.values())

    def alive_members(self, now_s: float) -> list[member_lib.Member]:
        """Return the other routers that are alive."""
        return [
            member
            for member in self._members.values()
            if self.is_alive(member, now_s)
        ]

    def members_to_contact(self, now_s: float) -> list[member_lib.Member]:
        """Return the other routers that a new router has to contact.

        These are the ones that it has not heard, and those preferred for
        callers that were not ready: it names the ready ones to callers. With
        all hundreds of routers starting at once, contacting every other one
        again would take most of the processor time.

        Args:
            now_s: Monotonic time in seconds.
        """
        preferred = set(self.preferred_nodes(now_s))
        return [
            member
            for member in self._members.values()
            if member.status is None
            or not self.is_alive(member, now_s)
            or (member.identity.node in preferred and not member.status.ready)
        ]

    def is_alive(self, member: member_lib.Member, now_s: float) -> bool:
        """Return whether another router is considered alive."""
        return (
            now_s - member.last_heard_s < member.liveness_timeout_s
            and not member.connection_refused
        )

    def active_routers(self, now_s: float) -> list[node_identity.NodeIdentity]:
        """Return the routers that are alive and not shutting down.

        Includes this router, except if it is shutting down and another router
        is active.
        """
        others = [
            member.identity
            for member in self.alive_members(now_s)
            if member.status is not None and not member.status.leaving
        ]
        if self.leaving and others:
            return others
        return [self.own, *others]

    def sending_nodes(self, now_s: float) -> list[str]:
        """Return the instances whose routers may send requests to servers.

        Includes this one, and those that may be cut off from it: they were
        heard not long ago, or are listed and could not be heard yet.
        """
        return [router.node for router in self._sending_routers(now_s)]

    def large_sending_nodes(self, now_s: float) -> list[str]:
        """Return those of ``sending_nodes`` that are of large capacity."""
        return [
            router.node
            for router in _select_preferred(self._sending_routers(now_s))
        ]

    def _sending_routers(
        self, now_s: float
    ) -> list[node_identity.NodeIdentity]:
        return [
            self.own,
            *(
                member.identity
                for member in self._members.values()
                if now_s - member.last_known_s < CUT_OFF_ROUTER_TTL_S
            ),
        ]

    def ranked_routers(
        self, key: str, now_s: float
    ) -> list[node_identity.NodeIdentity]:
        """Return the active routers in the order of their weights for a key."""
        return sorted(
            self.active_routers(now_s),
            key=lambda router: rendezvous.weight(key, router.node),
        )

    def caller_addresses(
        self,
        now_s: float,
        *,
        own_ready: bool,
        own_unreachable: Iterable[str] = (),
    ) -> list[str]:
        """Return the sorted addresses to which callers should connect.

        Args:
            now_s: Monotonic time in seconds.
            own_ready: Whether this router takes requests.
            own_unreachable: Services of which this router reaches no server.
        """
        ready = {
            member.identity.node: (
                member.identity,
                frozenset(member.status.unreachable_services),
            )
            for member in self._ready_members(now_s)
            if member.status is not None
        }
        if own_ready:
            ready[self.own.node] = self.own, frozenset(own_unreachable)
        reaching = reachable_services.select_reaching(
            {node: services for node, (_, services) in ready.items()}
        )
        return sorted(
            router.caller_address
            for router in _select_preferred(
                [ready[node][0] for node in reaching]
            )
        )

    def routers_reaching(
        self, service: str, now_s: float
    ) -> list[node_identity.NodeIdentity]:
        """Return the other routers that take requests and reach a service.

        Args:
            service: The service.
            now_s: Monotonic time in seconds.

        Returns:
            Those of large capacity, if there are enough of them.
        """
        return _select_preferred(
            [
                member.identity
                for member in self._ready_members(now_s)
                if member.status is not None
                and service not in member.status.unreachable_services
            ]
        )

    def _ready_members(self, now_s: float) -> list[member_lib.Member]:
        """Return the other routers that are alive and take requests."""
        return [
            member
            for member in self.alive_members(now_s)
            if member.status is not None
            and member.status.ready
            and not member.status.leaving
        ]

    def preferred_nodes(self, now_s: float) -> list[str]:
        """Return the names of the active instances preferred for callers."""
        return [
            router.node
            for router in _select_preferred(self.active_routers(now_s))
        ]

    def _add_or_update(
        self, identity: node_identity.NodeIdentity
    ) -> member_lib.Member:
        """Return the member for an identity; that of this router isn't kept."""
        member = self._members.get(identity.node)
        if identity.node == self.own.node:
            return member_lib.Member(identity)
        if member is None:
            member = member_lib.Member(identity)
            self._members[identity.node] = member
        elif member.identity.incarnation < identity.incarnation:
            # The incarnations of an instance sort by the time of their start.
            member.identity = identity
            member.connection_refused = False
        return member


def _select_preferred(
    routers: list[node_identity.NodeIdentity],
) -> list[node_identity.NodeIdentity]:
    """Return the routers of large capacity, or all if those are too few."""
    largest = max((router.capacity for router in routers), default=0.0)
    preferred = [
        router
        for router in routers
        if router.capacity >= MIN_PREFERRED_CAPACITY_RATIO * largest
    ]
    return preferred if len(preferred) >= MIN_PREFERRED_ROUTERS else routers
