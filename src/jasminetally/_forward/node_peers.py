"""Messages between this router and the others, and joining the fleet."""

from __future__ import annotations

import asyncio
import contextlib
import random
import time

import msgspec

from jasminetally import _errors
from jasminetally._forward import node_state
from jasminetally._forward import node_watches
from jasminetally._forward import notice_reader
from jasminetally._forward import reachability_monitor
from jasminetally._forward import slot_exchange
from jasminetally._observe import events
from jasminetally._peers import node_identity
from jasminetally._peers import peer_messages
from jasminetally._placing import reported_loads
from jasminetally._placing import server_status
from jasminetally._platform import entry
from jasminetally._platform import watch_loop
from jasminetally._shared import background_tasks
from jasminetally._streams import origin_service

NODE_PREFIX = "node/"
# Time for which a summary of the backend servers is sent again.
SERVER_STATUS_TTL_S = 0.05
# Interval at which the list of routers in the store is read again. A new router
# contacts all routers on the list, so reading it again only finds routers that
# this has missed.
ROUTER_LIST_INTERVAL_S = 12.0
# Pauses after the first reads of the list. They are shorter because all routers
# start within 0.3 s of each other when the whole system starts or restarts.
INITIAL_LIST_PAUSES_S = (0.25, 1.0)
# Pause after a failed read of the list by a router that is on it.
LIST_RETRY_DELAY_S = 2.0
# Time over which the routers spread the writing of their entries after the
# store has come back from an older copy.
REGISTRATION_SPREAD_S = 2.0
# Time that the watch on the store gets to deliver a newer configuration before
# it is fetched from the router that reported its version.
WATCH_HEAD_START_S = 0.4
# Timeout of a fetch of the configuration from another router.
CONFIGURATION_FETCH_TIMEOUT_S = 1.0


class NodePeers:
    """Handles the messages of other routers and makes this one known to them.

    Args:
        state: Shared state of the router.
        tasks: Runs the exchanges with other routers in the background.
        notices: Receives what other routers know of servers.
        origins: Receives the streams that other routers announce or ask for.
        watches: Watches that are compared with those of other routers.
        reachability: Knows the services of which no server is reached.
        slots: Lends slots of brittle servers to other routers.
    """

    def __init__(
        self,
        state: node_state.NodeState,
        tasks: background_tasks.BackgroundTasks,
        notices: notice_reader.NoticeReader,
        origins: origin_service.OriginService,
        watches: node_watches.NodeWatches,
        reachability: reachability_monitor.ReachabilityMonitor,
        slots: slot_exchange.SlotExchange,
    ) -> None:
        self._state = state
        self._tasks = tasks
        self._notices = notices
        self._origins = origins
        self._watches = watches
        self._reachability = reachability
        self._slots = slots
        state.fleet.set_status_provider(
            self.own_status, lambda: state.store.reachable
        )
        state.fleet.set_entry_lookup(self._look_up_router)
        state.fleet.add_status_listener(self._on_status)
        self._reported_loads = reported_loads.ReportedLoads(
            state.server_registry
        )
        self._server_status_s = float("-inf")
        self._last_server_status = server_status.EMPTY
        self._registered = False
        self._store_restored = asyncio.Event()
        state.store.add_restored_callback(self._store_restored.set)

    def own_status(self) -> peer_messages.Status:
        """Return the current status of this router."""
        state = self._state
        servers = self._server_status()
        return peer_messages.Status(
            state.own_identity,
            state.tracker.version,
            state.ready,
            state.leaving,
            state.store.reachable,
            servers.loads,
            state.prepaid.ownership_manager.shard_epochs(),
            state.prepaid.ownership_manager.scarce_accounts(),
            time.time(),
            state.fleet.start_time_of_day(),
            state.crash_history.export(time.monotonic()),
            servers.leaving,
            servers.limits,
            servers.digest,
            self._reachability.unreachable_services(),
            self._watches.evacuations.view,
            self._watches.servers.changes.changed_version,
            state.store.era or 0,
            state.server_registry.notices.export_brittleness(time.monotonic()),
            servers.spare_slots,
        )

    def _server_status(self) -> server_status.ServerStatus:
        """Return what the status tells of backend servers.

        Statuses are exchanged with hundreds of routers at a start, and going
        through thousands of servers for each would take most of the time.
        """
        now_s = time.monotonic()
        if now_s - self._server_status_s >= SERVER_STATUS_TTL_S:
            self._server_status_s = now_s
            self._last_server_status = server_status.summarise(
                self._state.server_registry, now_s
            )
        return self._last_server_status

    async def handle_message(
        self, message: peer_messages.Message
    ) -> peer_messages.Message | None:
        """Handle a message of another router.

        Args:
            message: The message.

        Returns:
            The reply, or None if the message has none.
        """
        state = self._state
        match message:
            case peer_messages.Status():
                state.fleet.receive_status(message)
                return self.own_status()
            case peer_messages.DeploymentQuery():
                routers = [
                    found.identity for found in state.fleet.alive_members()
                ]
                return peer_messages.DeploymentReply(
                    state.tracker.compressed, [state.own_identity, *routers]
                )
            case peer_messages.TakeTokens():
                return await state.prepaid.on_take_tokens(message)
            case peer_messages.ReturnTokens():
                return state.prepaid.ownership_manager.on_return_tokens(message)
            case peer_messages.HandOverShard():
                return state.prepaid.ownership_manager.on_hand_over(message)
            case peer_messages.StoreCeilings():
                witness = state.prepaid.ownership_manager.witness
                return witness.on_store_ceilings(message)
            case peer_messages.AnnounceOrigins():
                return self._origins.on_announced(message)
            case peer_messages.FindOrigin():
                return self._origins.on_asked(message)
            case peer_messages.BorrowSlot():
                return self._slots.on_asked(message)
            case peer_messages.ReturnSlot():
                return self._slots.on_returned(message)
            case peer_messages.ChangesQuery():
                return self._watches.servers.answer(message)
            case peer_messages.CloseEpoch():
                witness = state.prepaid.ownership_manager.witness
                return witness.on_close_epoch(message)
            case _:
                return None

    def drop_loads_of_dead_routers(self) -> None:
        """Drop the loads that routers have reported that are dead now."""
        self._reported_loads.retain(
            [
                member.identity.node
                for member in self._state.fleet.alive_members()
            ]
        )

    async def join_fleet(self) -> None:
        """Register this router and discover the others, until cancelled."""
        for address in self._state.settings.seed_addresses:
            if address != self._state.settings.peer_address:
                self._tasks.start(
                    f"contact {address}", self._contact_router(address)
                )
        pauses_s = iter(INITIAL_LIST_PAUSES_S)
        while True:
            try:
                if self._store_restored.is_set():
                    self._store_restored.clear()
                    self._registered = False
                    await asyncio.sleep(random.random() * REGISTRATION_SPREAD_S)
                if not self._registered:
                    await self._write_own_entry()
                    self._registered = True
                pause_s = next(pauses_s, None)
                found = await self._state.store.list(
                    NODE_PREFIX, allow_stale=pause_s is None
                )
            except _errors.PlatformError:
                # AsyncStore logs the start and the end of a store outage.
                await asyncio.sleep(
                    LIST_RETRY_DELAY_S
                    if self._registered
                    else watch_loop.RETRY_DELAY_S
                )
                continue
            self._state.fleet.view.on_listed(
                self._decode_identities(found.entries), time.monotonic()
            )
            if pause_s is not None:
                self._tasks.start(
                    f"exchange statuses {pause_s}",
                    self._state.fleet.introduce(),
                )
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(pause_s or ROUTER_LIST_INTERVAL_S):
                    await self._store_restored.wait()

    async def _fetch_newer_configuration(self, incarnation: str) -> None:
        """Fetch a newer configuration unless the watch delivers one first.

        A configuration can be as large as a megabyte, and the links of small
        instances carry half of that in a second. So the watch on the store gets
        a head start, and only one fetch runs at a time.

        Args:
            incarnation: Router that has the newer configuration.
        """
        version = self._state.tracker.version
        if not self._watches.follower.follows():
            if self._state.store.reachable:
                await asyncio.sleep(WATCH_HEAD_START_S)
            if self._state.tracker.version != version:
                return
            if self._state.store.reachable:
                self._watches.on_configuration_missed()
        await self._fetch_configuration(incarnation)

    def _on_status(self, status: peer_messages.Status) -> None:
        state = self._state
        if status.sender.node != state.settings.node:
            self._reported_loads.on_report(status.sender.node, status.loads)
        self._merge_crash_records(status)
        self._watches.on_status(status)
        for server_id, started_ms in status.leaving_servers:
            self._notices.on_leaving(
                server_id, started_ms, status.sender.incarnation
            )
        for notice in status.server_limits:
            self._notices.on_limit_reported(notice, status.sender.incarnation)
        for word in status.brittle_services:
            self._notices.on_brittleness_reported(
                word, status.sender.incarnation
            )
        state.prepaid.ownership_manager.previous_owners.on_restart(
            status.sender, status.started_s
        )
        if status.deployment_version > state.tracker.version:
            self._tasks.start(
                "fetch configuration",
                self._fetch_newer_configuration(status.sender.incarnation),
            )

    def _merge_crash_records(self, status: peer_messages.Status) -> None:
        """Merge what another router knows about requests that crash servers."""
        history = self._state.crash_history
        now_s = time.monotonic()
        for record in history.merge(status.crashes, now_s):
            blocked_s = history.blocked_for_s(record.suspect, now_s)
            if blocked_s:
                self._state.log.emit(
                    events.SuspectBlocked(
                        suspect=record.suspect,
                        crashes=record.crashes,
                        blocked_s=round(blocked_s, 1),
                        source=status.sender.incarnation,
                    )
                )

    async def _fetch_configuration(self, incarnation: str) -> None:
        state = self._state
        try:
            reply = await state.fleet.call(
                incarnation,
                peer_messages.DeploymentQuery(),
                timeout_s=CONFIGURATION_FETCH_TIMEOUT_S,
            )
        except _errors.PeerUnreachableError as exc:
            state.log.emit(events.ConfigurationNotFetched(reason=str(exc)))
            return
        if isinstance(reply, peer_messages.DeploymentReply) and reply.packed:
            state.tracker.apply_compressed_if_newer(reply.packed, incarnation)
            state.fleet.view.on_listed(reply.routers, time.monotonic())

    async def _contact_router(self, address: str) -> None:
        status = await self._state.fleet.exchange_status_with_address(address)
        if status is not None:
            await self._fetch_configuration(status.sender.incarnation)

    async def _write_own_entry(self) -> None:
        state = self._state
        key = NODE_PREFIX + state.settings.node
        try:
            version = (await state.store.get(key)).version
        except _errors.NotFoundError:
            version = 0
        await state.store.write(
            key,
            msgspec.json.encode(state.own_identity),
            expected_version=version,
        )

    async def _look_up_router(
        self, node: str
    ) -> list[node_identity.NodeIdentity]:
        try:
            found = await self._state.store.get(NODE_PREFIX + node)
        except _errors.PlatformError as exc:
            self._state.log.emit(
                events.RouterNotFound(router=node, reason=str(exc))
            )
            return []
        return self._decode_identities([found])

    def _decode_identities(
        self, entries: list[entry.Entry]
    ) -> list[node_identity.NodeIdentity]:
        found = []
        for listed in entries:
            try:
                identity = msgspec.json.decode(
                    listed.value or b"", type=node_identity.NodeIdentity
                )
            except msgspec.MsgspecError as exc:
                self._state.log.emit(
                    events.RouterEntryUnreadable(
                        router=listed.key, reason=str(exc)
                    )
                )
                continue
            found.append(identity)
        return found
