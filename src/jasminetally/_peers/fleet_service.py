"""Exchange of statuses with the other routers, and calls to them."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable
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
from jasminetally._peers import round_trips
from jasminetally._shared import background_tasks

# Interval between two rounds of status exchanges. In a small fleet, a router is
# considered dead after four intervals without a status.
STATUS_INTERVAL_S = 0.25
# A status that is not answered within this time is considered lost.
STATUS_TIMEOUT_S = 0.9
# Time after the start within which the statuses of the other routers arrive.
DISCOVERY_TIMEOUT_S = 0.8
# Time for which a hint about a shard's owner takes precedence over the
# statuses, since the status in which the owner names the shard may come later.
OWNER_HINT_TTL_S = 1.0


class FleetService:
    """Exchanges statuses with the other routers and sends them messages.

    The owner of a shard is the router that hands out the prepaid tokens of the
    shard's client accounts.

    Args:
        own: Identity of this router.
        log: Receives an event for each router that is found, changed or lost.
        patience: Returns the factor by which to wait longer for answers than
            usual.

    Attributes:
        own: Identity of this router.
        view: The other routers and which of them are alive.
        clock: Time of day on which the routers agree.
        patience: Returns the factor by which to wait longer for answers than
            usual.
        round_trips: Delays of the ways to other data centres.
        started_s: Monotonic time of this router's start in seconds.
    """

    def __init__(
        self,
        own: node_identity.NodeIdentity,
        log: event_log.EventLog,
        patience: Callable[[], float] = lambda: 1.0,
    ) -> None:
        self.own = own
        self.patience = patience
        self.view = fleet_view.FleetView(own)
        self.clock = fleet_clock.FleetClock()
        self.round_trips = round_trips.RoundTrips(own.data_centre)
        self.started_s = time.monotonic()
        self._log = log
        self._clients: dict[str, peer_client.PeerClient] = {}
        self._owner_hints: dict[int, tuple[str, float]] = {}
        self._build_status: Callable[[], peer_messages.Status] | None = None
        self._reaches_store: Callable[[], bool] | None = None
        self._look_up_entry: (
            Callable[[str], Awaitable[list[node_identity.NodeIdentity]]] | None
        ) = None
        self._status_listeners: list[
            Callable[[peer_messages.Status], None]
        ] = []
        self._tasks = background_tasks.BackgroundTasks(log)
        self._discovery_complete = False
        self._peer_selector = peer_selector.PeerSelector(
            self.view, round_interval_s=STATUS_INTERVAL_S
        )
        self._last_alive: set[str] = set()

    def set_status_provider(
        self,
        build_status: Callable[[], peer_messages.Status],
        reaches_store: Callable[[], bool],
    ) -> None:
        """Set the functions that return this router's status.

        Args:
            build_status: Returns the complete status.
            reaches_store: Returns whether the platform's store is reached;
                used where building the complete status would cost too much.
        """
        self._build_status = build_status
        self._reaches_store = reaches_store

    def set_entry_lookup(
        self,
        look_up_entry: Callable[
            [str], Awaitable[list[node_identity.NodeIdentity]]
        ],
    ) -> None:
        """Set the function that reads an instance's entry in the store.

        Args:
            look_up_entry: Receives the instance's name; returns a list with
                the identity of its router, or an empty one if there is none
                or it can't be read.
        """
        self._look_up_entry = look_up_entry

    def add_status_listener(
        self, listener: Callable[[peer_messages.Status], None]
    ) -> None:
        """Add a function that is called with each status received."""
        self._status_listeners.append(listener)

    def start_time_of_day(self) -> float | None:
        """Return the time of day of this router's start.

        Returns:
            Seconds by the routers' agreed clock; None if there is no agreed
            time yet.
        """
        now_s = time.monotonic()
        self.clock.add_reading(self.own.node, time.time(), now_s)
        agreed_s = self.clock.time_of_day_at(now_s)
        if agreed_s is None:
            return None
        return agreed_s - (now_s - self.started_s)

    def own_status(self) -> peer_messages.Status:
        """Return this router's status.

        Raises:
            InvariantError: No status provider has been set.
        """
        if self._build_status is None:
            raise _errors.InvariantError(
                "status requested before set_status_provider was called"
            )
        return self._build_status()

    def alive_members(self) -> list[member_lib.Member]:
        """Return the other routers that are alive."""
        return self.view.alive_members(time.monotonic())

    def ranked_routers(self, key: str) -> list[node_identity.NodeIdentity]:
        """Return the active routers in the order of their weights for a key."""
        return self.view.ranked_routers(key, time.monotonic())

    def are_active(self, incarnations: Iterable[str]) -> bool:
        """Return whether these other routers are alive and not shutting down.

        Args:
            incarnations: Incarnations of routers.
        """
        now_s = time.monotonic()
        for incarnation in incarnations:
            member = self._find_member(incarnation)
            if (
                member is None
                or member.status is None
                or member.status.leaving
                or not self.view.is_alive(member, now_s)
            ):
                return False
        return True

    def store_delegates(self, key: str) -> list[node_identity.NodeIdentity]:
        """Return the routers that may use the store for all, the best first.

        Routers that reach the store come first; then those that are preferred
        for callers, which exchange statuses most often.

        Args:
            key: Key of the task, such as that of a shard to own, which
                determines the order of routers that are equal in these
                respects.
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
            key=lambda router: (
                router.incarnation not in reaching,
                router.node not in preferred,
            ),
        )

    def remote_shard_epochs(self, now_s: float) -> dict[int, int]:
        """Return the epoch of each shard that another router owns."""
        epochs: dict[int, int] = {}
        for member in self.view.alive_members(now_s):
            if member.status is None:
                continue
            for shard, epoch in member.status.homes.items():
                epochs[shard] = max(epoch, epochs.get(shard, 0))
        return epochs

    def remote_scarce_accounts(self, now_s: float) -> set[str]:
        """Return the accounts that other routers report as nearly used up."""
        return {
            account
            for member in self.view.alive_members(now_s)
            if member.status is not None
            for account in member.status.scarce
        }

    def owner_of_shard(self, shard: int, now_s: float) -> str | None:
        """Return the incarnation that owns a shard, if another router does.

        Args:
            shard: Shard of accounts.
            now_s: Monotonic time in seconds.

        Returns:
            The router of a recent hint; without one, the router that is alive
            and reports the highest epoch of the shard; None if there is none.
        """
        hint = self._owner_hints.get(shard)
        if hint is not None and now_s - hint[1] < OWNER_HINT_TTL_S:
            return hint[0]
        owner = None
        highest_epoch = 0
        for member in self.view.alive_members(now_s):
            epoch = (
                0
                if member.status is None
                else member.status.homes.get(shard, 0)
            )
            if epoch > highest_epoch:
                owner, highest_epoch = member.identity.incarnation, epoch
        return owner

    def set_owner_hint(self, shard: int, incarnation: str) -> None:
        """Record the owner of a shard as found in the store or handed over."""
        self._owner_hints[shard] = (incarnation, time.monotonic())

    @property
    def discovery_complete(self) -> bool:
        """Whether the other routers had time to make themselves known.

        Once more than half of the known routers are alive, waiting for the
        others gains nothing.
        """
        if (
            self._discovery_complete
            or time.monotonic() - self.started_s >= DISCOVERY_TIMEOUT_S
        ):
            return True
        known = self.view.members()
        self._discovery_complete = bool(known) and 2 * len(
            self.alive_members()
        ) > len(known)
        return self._discovery_complete

    async def probe_incarnation(self, incarnation: str) -> bool:
        """Ask a router for its status; return whether the incarnation runs.

        A router that is not known is looked up in the store first.
        """
        node, _, _ = incarnation.partition("#")
        if self.view.get(node) is None and self._look_up_entry is not None:
            self.view.on_listed(
                await self._look_up_entry(node), time.monotonic()
            )
        member = self._find_member(incarnation)
        return member is not None and await self.exchange_status(member)

    def knows_other_incarnation(self, incarnation: str) -> bool:
        """Return whether a router is known as another incarnation than this.

        Since one incarnation of an instance runs at a time, the given one is
        then taken to have ended.
        """
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

        Args:
            incarnation: Incarnation of the router.
            message: Message to send.
            timeout_s: Time limit in seconds.

        Raises:
            PeerUnreachableError: The incarnation is not the latest known one
                of its instance, or the router did not answer in time.
        """
        member = self._find_member(incarnation)
        if member is None:
            raise _errors.PeerUnreachableError(
                f"router {incarnation} is not known as the latest incarnation "
                "of its instance"
            )
        return await self._get_client(member.identity.peer_address).call(
            message, timeout_s=timeout_s
        )

    async def exchange_status(self, member: member_lib.Member) -> bool:
        """Exchange statuses with a router.

        Returns:
            Whether it answered as the expected incarnation.
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
        """Exchange statuses with the router at an address.

        If the connection is refused, the router at the address is recorded as
        dead.

        Returns:
            The status of that router; None if it did not answer with one.
        """
        sent_s = time.monotonic()
        try:
            reply = await self._get_client(address).call(
                self.own_status(),
                timeout_s=STATUS_TIMEOUT_S * self.patience(),
            )
        except _errors.PeerUnreachableError as exc:
            if isinstance(exc.__cause__, ConnectionRefusedError):
                for member in self.view.members():
                    if member.identity.peer_address == address:
                        self.view.on_connection_refused(member.identity.node)
            return None
        if not isinstance(reply, peer_messages.Status):
            return None
        now_s = time.monotonic()
        self.round_trips.observe(
            reply.sender.data_centre, now_s - sent_s, now_s
        )
        self.receive_status(reply)
        return reply

    def receive_status(self, status: peer_messages.Status) -> None:
        """Record a status of another router and pass it to the listeners."""
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
        for listener in self._status_listeners:
            listener(status)

    async def run(self) -> None:
        """Exchange statuses in rounds until cancelled."""
        while True:
            now_s = time.monotonic()
            status = self.own_status()
            serving = bool(status.homes or status.loads) or (
                self.own.node in self.view.preferred_nodes(now_s)
            )
            for member in self._peer_selector.select_peers(
                serving=serving, now_s=now_s
            ):
                if self._should_initiate(member, now_s):
                    self._tasks.start_concurrent(
                        f"exchange status with {member.identity.node}",
                        self.exchange_status(member),
                    )
            self._log_lost_routers()
            await asyncio.sleep(STATUS_INTERVAL_S)

    async def introduce(self) -> None:
        """Exchange statuses with the known routers that need it after a start.

        An exchange informs both sides, so one of each two routers suffices.
        """
        now_s = time.monotonic()
        await asyncio.gather(
            *(
                self.exchange_status(member)
                for member in self.view.members_to_contact(now_s)
            )
        )

    async def announce_status(self) -> None:
        """Exchange statuses with all routers that are alive."""
        await asyncio.gather(
            *(self.exchange_status(member) for member in self.alive_members())
        )

    def close(self) -> None:
        """Close the connections to all routers."""
        for client in self._clients.values():
            client.close()

    def _should_initiate(self, member: member_lib.Member, now_s: float) -> bool:
        """Return whether this router sends its status to another one first.

        The answer holds the other router's status, so one exchange informs
        both. Of two routers, the one whose name sorts first initiates; the
        other does so only if it has not received a status for a third of the
        liveness timeout.
        """
        if self.own.node < member.identity.node:
            return True
        return now_s - member.last_heard_s > member.liveness_timeout_s / 3

    def _log_lost_routers(self) -> None:
        alive = {member.identity.incarnation for member in self.alive_members()}
        for incarnation in self._last_alive - alive:
            self._log.emit(events.RouterLost(router=incarnation))
        self._last_alive = alive

    def _find_member(self, incarnation: str) -> member_lib.Member | None:
        """Return the router whose latest known incarnation is the given one."""
        node, _, _ = incarnation.partition("#")
        member = self.view.get(node)
        if member is None or member.identity.incarnation != incarnation:
            return None
        return member

    def _get_client(self, address: str) -> peer_client.PeerClient:
        client = self._clients.get(address)
        if client is None:
            client = peer_client.PeerClient(address, self.patience)
            self._clients[address] = client
        return client
