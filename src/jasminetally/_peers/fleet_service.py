"""Exchange of statuses and calls with the other routers."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import time

from jasminetally import _errors
from jasminetally._observe import event_log
from jasminetally._observe import events
from jasminetally._peers import fleet_clock
from jasminetally._peers import fleet_view
from jasminetally._peers import member as member_lib
from jasminetally._peers import node_identity
from jasminetally._peers import peer_client
from jasminetally._peers import peer_messages
from jasminetally._peers import peer_selector
from jasminetally._shared import background_tasks

# Interval of statuses; a member is judged after four of them.
STATUS_INTERVAL_S = 0.25
# A status that is not answered within this time is taken as lost.
STATUS_TIMEOUT_S = 0.9
# Time after the start in which the statuses of the others arrive.
SETTLE_S = 0.8
# How long a named home is believed without a status that names it.
HINT_S = 1.0


class FleetService:
    """Keep the view of the other routers and the connections to them.

    Attributes:
        own: Identity of this router.
        view: Judgement on the other routers.
        clock: Time of day on which the routers agree.
        started_s: Monotonic time of this router's start.
    """

    def __init__(
        self, own: node_identity.NodeIdentity, log: event_log.EventLog
    ) -> None:
        self.own = own
        self.view = fleet_view.FleetView(own)
        self.clock = fleet_clock.FleetClock()
        self.started_s = time.monotonic()
        self._log = log
        self._links: dict[str, peer_client.PeerClient] = {}
        self._hints: dict[int, tuple[str, float]] = {}
        self._status: Callable[[], peer_messages.Status] | None = None
        self._reaches_store: Callable[[], bool] | None = None
        self._lookup: (
            Callable[[str], Awaitable[list[node_identity.NodeIdentity]]] | None
        ) = None
        self._on_status: list[Callable[[peer_messages.Status], None]] = []
        self._tasks = background_tasks.BackgroundTasks(log)
        self._discovery_complete = False
        self._plan = peer_selector.PeerSelector(
            self.view, turn_s=STATUS_INTERVAL_S
        )
        self._was_alive: set[str] = set()

    def set_status_provider(
        self,
        status: Callable[[], peer_messages.Status],
        reaches_store: Callable[[], bool],
    ) -> None:
        """Set how this router's status is found.

        Args:
            status: Returns the whole status.
            reaches_store: Returns whether the platform's store is reached; a
                whole status would cost too much for that.
        """
        self._status = status
        self._reaches_store = reaches_store

    def set_entry_lookup(
        self,
        lookup: Callable[[str], Awaitable[list[node_identity.NodeIdentity]]],
    ) -> None:
        """Set the function that reads a router's entry in the store."""
        self._lookup = lookup

    def add_status_listener(
        self, call: Callable[[peer_messages.Status], None]
    ) -> None:
        """Have a function called with each status of another router."""
        self._on_status.append(call)

    def start_time_of_day(self) -> float | None:
        """Return the time of day of this router's start, if it is known."""
        now_s = time.monotonic()
        self.clock.add_reading(self.own.node, time.time(), now_s)
        agreed_s = self.clock.time_of_day_at(now_s)
        if agreed_s is None:
            return None
        return agreed_s - (now_s - self.started_s)

    def own_status(self) -> peer_messages.Status:
        """Return this router's status."""
        if self._status is None:
            raise _errors.InvariantError("the status is not described yet")
        return self._status()

    def alive_members(self) -> list[member_lib.Member]:
        """Return the other routers that are alive."""
        return self.view.alive_members(time.monotonic())

    def ranked_routers(self, key: str) -> list[node_identity.NodeIdentity]:
        """Return the staying routers in their order for a key."""
        return self.view.ranked_routers(key, time.monotonic())

    def owner_candidates(self, key: str) -> list[node_identity.NodeIdentity]:
        """Return the routers that may become the home of a shard, in order.

        Those that reach the store come first, since only they can, then those
        that serve most callers.
        """
        reaching = {
            member.identity.incarnation
            for member in self.alive_members()
            if member.status is not None and member.status.store_reachable
        }
        if self._reaches_store is not None and self._reaches_store():
            reaching.add(self.own.incarnation)
        preferred = set(self.view.preferred_nodes(time.monotonic()))
        return sorted(
            self.ranked_routers(key),
            key=lambda found: (
                found.incarnation not in reaching,
                found.node not in preferred,
            ),
        )

    def remote_shard_epochs(self, now_s: float) -> dict[int, int]:
        """Return the epoch of each shard whose home is another router."""
        homes: dict[int, int] = {}
        for member in self.view.alive_members(now_s):
            if member.status is None:
                continue
            for shard, epoch in member.status.homes.items():
                homes[shard] = max(epoch, homes.get(shard, 0))
        return homes

    def remote_scarce_accounts(self, now_s: float) -> set[str]:
        """Return the accounts that other routers call nearly used up."""
        return {
            account
            for member in self.view.alive_members(now_s)
            if member.status is not None
            for account in member.status.scarce
        }

    def owner_of_shard(self, shard: int, now_s: float) -> str | None:
        """Return the incarnation that hands out a shard's tokens."""
        hint = self._hints.get(shard)
        if hint is not None and now_s - hint[1] < HINT_S:
            return hint[0]
        best = None
        best_epoch = 0
        for member in self.view.alive_members(now_s):
            epoch = (
                0
                if member.status is None
                else member.status.homes.get(shard, 0)
            )
            if epoch > best_epoch:
                best, best_epoch = member.identity.incarnation, epoch
        return best

    def set_owner_hint(self, shard: int, incarnation: str) -> None:
        """Note what the store or another router says about a home."""
        self._hints[shard] = (incarnation, time.monotonic())

    @property
    def discovery_complete(self) -> bool:
        """Whether the other routers had time to make themselves known.

        Once most of those that the store lists have answered, waiting for
        the rest gains nothing.
        """
        if (
            self._discovery_complete
            or time.monotonic() - self.started_s >= SETTLE_S
        ):
            return True
        known = self.view.members()
        self._discovery_complete = bool(known) and 2 * len(
            self.alive_members()
        ) > len(known)
        return self._discovery_complete

    async def probe_incarnation(self, incarnation: str) -> bool:
        """Ask a router whether it still is this incarnation.

        A router that is not known yet is looked up in the store first.
        """
        node, _, _ = incarnation.partition("#")
        if self.view.get(node) is None and self._lookup is not None:
            self.view.on_listed(await self._lookup(node))
        member = self._member(incarnation)
        return member is not None and await self.exchange_status(member)

    def knows_other_incarnation(self, incarnation: str) -> bool:
        """Return whether a later run of a router was heard of."""
        node, _, _ = incarnation.partition("#")
        if node == self.own.node:
            return incarnation != self.own.incarnation
        return any(
            member.identity.node == node
            and member.status is not None
            and member.identity.incarnation != incarnation
            for member in self.view.members()
        )

    async def call(
        self,
        incarnation: str,
        message: peer_messages.Message,
        *,
        timeout_s: float,
    ) -> peer_messages.Message:
        """Send a message to a router and return its answer.

        Raises:
            PeerUnreachableError: It is not known or did not answer.
        """
        member = self._member(incarnation)
        if member is None:
            raise _errors.PeerUnreachableError(
                f"router {incarnation} is not known"
            )
        return await self._link(member.identity.peer_address).call(
            message, timeout_s=timeout_s
        )

    async def exchange_status(self, member: member_lib.Member) -> bool:
        """Exchange statuses with a router; return whether it answered.

        A router that answers as another incarnation counts as no answer.
        """
        expected = member.identity.incarnation
        status = await self.exchange_status_with_address(
            member.identity.peer_address
        )
        if status is None:
            return False
        return status.sender.incarnation == expected

    async def exchange_status_with_address(
        self, address: str
    ) -> peer_messages.Status | None:
        """Exchange statuses with the router at an address."""
        try:
            reply = await self._link(address).call(
                self.own_status(), timeout_s=STATUS_TIMEOUT_S
            )
        except _errors.PeerUnreachableError as exc:
            if isinstance(exc.__cause__, ConnectionRefusedError):
                for member in self.view.members():
                    if member.identity.peer_address == address:
                        self.view.on_connection_refused(member.identity.node)
            return None
        if not isinstance(reply, peer_messages.Status):
            return None
        self.receive_status(reply)
        return reply

    def receive_status(self, status: peer_messages.Status) -> None:
        """Note a status of another router."""
        now_s = time.monotonic()
        self.clock.add_reading(status.sender.node, status.time_of_day_s, now_s)
        if self.view.on_status(status, now_s):
            self._log.emit(
                events.RouterSeen(
                    router=status.sender.incarnation,
                    ready=status.ready,
                    leaving=status.leaving,
                )
            )
        for call in self._on_status:
            call(status)

    async def run(self) -> None:
        """Exchange statuses until cancelled."""
        while True:
            now_s = time.monotonic()
            status = self.own_status()
            serving = bool(status.homes or status.loads) or (
                self.own.node in self.view.preferred_nodes(now_s)
            )
            for member in self._plan.turn(serving=serving, now_s=now_s):
                if self._starts_exchange(member, now_s):
                    self._tasks.start_concurrent(
                        f"exchange {member.identity.node}",
                        self.exchange_status(member),
                    )
            self._log_changes()
            await asyncio.sleep(STATUS_INTERVAL_S)

    async def exchange_status_with_all(self) -> None:
        """Exchange statuses with all routers that are known."""
        await asyncio.gather(
            *(self.exchange_status(member) for member in self.view.members())
        )

    async def announce_status(self) -> None:
        """Send the status to all routers that are alive."""
        await asyncio.gather(
            *(self.exchange_status(member) for member in self.alive_members())
        )

    def close(self) -> None:
        """Close all connections."""
        for link in self._links.values():
            link.close()

    def _starts_exchange(self, member: member_lib.Member, now_s: float) -> bool:
        """Return whether this router sends first; the answer tells as much.

        Of two routers one sends, and the other only after it heard nothing.
        """
        if self.own.node < member.identity.node:
            return True
        return now_s - member.last_heard_s > member.liveness_timeout_s / 3

    def _log_changes(self) -> None:
        alive_members = {
            member.identity.incarnation for member in self.alive_members()
        }
        for incarnation in self._was_alive - alive_members:
            self._log.emit(events.RouterLost(router=incarnation))
        self._was_alive = alive_members

    def _member(self, incarnation: str) -> member_lib.Member | None:
        """Return the router whose latest known run is this one."""
        node, _, _ = incarnation.partition("#")
        member = self.view.get(node)
        if member is None or member.identity.incarnation != incarnation:
            return None
        return member

    def _link(self, address: str) -> peer_client.PeerClient:
        found = self._links.get(address)
        if found is None:
            found = peer_client.PeerClient(address)
            self._links[address] = found
        return found
