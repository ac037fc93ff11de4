"""One router process that forwards requests."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import random
import signal
import time

import msgspec

from jasminetally import _errors
from jasminetally._deployment import caller_limits
from jasminetally._deployment import deployment as deployment_lib
from jasminetally._deployment import deployment_tracker
from jasminetally._forward import caller_connection
from jasminetally._forward import caller_request
from jasminetally._forward import forwarder as forwarder_lib
from jasminetally._forward import node_settings
from jasminetally._forward import platform_codec
from jasminetally._forward import server_pool
from jasminetally._observe import event_log
from jasminetally._observe import request_metrics
from jasminetally._peers import fleet_service
from jasminetally._peers import node_identity
from jasminetally._peers import peer_messages
from jasminetally._peers import peer_server
from jasminetally._placing import placer as placer_lib
from jasminetally._placing import server_load
from jasminetally._placing import server_roster
from jasminetally._platform import entry
from jasminetally._platform import port
from jasminetally._platform import store_calls
from jasminetally._platform import watch_loop
from jasminetally._prepaid import prepaid_service
from jasminetally._routing import retry_budget

CONFIG_KEY = "config/current"
SERVER_PREFIX = "server/"
NODE_PREFIX = "node/"
# Interval of the upkeep of connections and of the list of servers.
UPKEEP_S = 0.25
# Interval of reads of the list of routers; statuses tell sooner.
MEMBERS_INTERVAL_S = 3.0
# Pauses after the first lists: all routers start within 0.3 s of each other
# when the system starts, or restarts after a loss of everything.
FIRST_LISTS_S = (0.15, 0.25, 0.4, 1.0)
# Time after the signal to stop in which requests are still accepted, since
# callers keep an address for up to three times its time to live.
ACCEPT_AFTER_STOP_S = 3.2
# Time kept back before the forced end, to give tokens back.
STOP_MARGIN_S = 0.7
# Time to live of an address list: short, so that callers leave a router that
# stops or dies.
ADDRESS_TTL_S = 1.0
# Repeats this router allows itself of its share of the fleet's budget.
RETRY_CAUTION = 0.8
# Limits before the first configuration is known.
FIRST_LIMITS = caller_limits.CallerLimits(16_384, 1_048_576, 3.0, 15.0)
BACKLOG = 512


class Node:
    """One router process: callers, servers, other routers and the store.

    Args:
        settings: Settings.
        platform: The platform's store.
        codec: Formats of the platform.
        log: Structured log.
    """

    def __init__(
        self,
        settings: node_settings.NodeSettings,
        platform: port.PlatformPort,
        codec: platform_codec.PlatformCodec,
        log: event_log.EventLog,
    ) -> None:
        self._settings = settings
        self._codec = codec
        self._log = log
        self._metrics = request_metrics.RequestMetrics()
        self._own = node_identity.NodeIdentity(
            settings.node,
            f"{settings.node}#{time.time_ns():020d}",
            settings.caller_address,
            settings.peer_address,
            settings.data_centre,
        )
        self._store = store_calls.StoreCalls(platform, log)
        self._fleet = fleet_service.FleetService(self._own, log)
        self._tracker = deployment_tracker.DeploymentTracker(
            codec.decode_deployment, log
        )
        self._roster = server_roster.ServerRoster()
        self._prepaid = prepaid_service.PrepaidService(
            self._fleet, self._store, log
        )
        self._pool = server_pool.ServerPool()
        self._retries: dict[str, retry_budget.RetryBudget] = {}
        self._forwarder = forwarder_lib.Forwarder(
            names=codec.names,
            index=lambda: self._tracker.index,
            roster=self._roster,
            placer=placer_lib.Placer(self._roster, random.Random()),
            pool=self._pool,
            prepaid=self._prepaid,
            retries=self._retry_budget,
            log=log,
            metrics=self._metrics,
        )
        self._callers: set[caller_connection.CallerConnection] = set()
        self._others: set[caller_connection.CallerConnection] = set()
        self._servers_listed = False
        self._leaving = False
        self._stop = asyncio.Event()
        self._tasks: set[asyncio.Task] = set()
        self._caller_listener: asyncio.Server | None = None

    @property
    def ready(self) -> bool:
        """Whether the router takes requests."""
        return (
            not self._leaving
            and self._tracker.index is not None
            and self._servers_listed
            and self._fleet.settled
        )

    async def run(self) -> None:
        """Serve until a signal to stop, and end in an orderly way."""
        self._connect_parts()
        await self._listen()
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self._stop.set)
        loop.add_signal_handler(signal.SIGINT, self._stop.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        self._log.emit(
            "router_started",
            incarnation=self._own.incarnation,
            callers=self._settings.caller_address,
            peers=self._settings.peer_address,
        )
        for work in (
            self._join(),
            self._fleet.run(),
            self._prepaid.run(),
            self._watch_config().run(),
            self._watch_servers().run(),
            self._keep_up(),
        ):
            self._start(work)
        await self._stop.wait()
        await self._leave(time.monotonic())

    def _connect_parts(self) -> None:
        self._fleet.describe_with(self._status)
        self._fleet.look_up_with(self._look_up)
        self._fleet.on_status(self._on_status)
        self._tracker.on_change(self._prepaid.on_deployment)
        self._tracker.on_change(self._on_deployment)
        self._store.on_back(
            lambda: self._roster.on_store_back(time.monotonic())
        )

    async def _listen(self) -> None:
        settings = self._settings
        self._caller_listener = await _listen(
            settings.caller_address,
            lambda: caller_connection.CallerConnection(
                self._handle_caller, self._limits, self._callers
            ),
        )
        for address, handler in (
            (settings.readiness_address, self._handle_readiness),
            (settings.directory_address, self._handle_directory),
            (settings.metrics_address, self._handle_metrics),
        ):
            await _listen(address, self._factory(handler))
        await _listen(
            settings.peer_address,
            lambda: peer_server.PeerServer(self._handle_peer),
        )

    def _factory(
        self, handler: caller_connection.Handler
    ) -> Callable[[], caller_connection.CallerConnection]:
        return lambda: caller_connection.CallerConnection(
            handler, self._limits, self._others
        )

    async def _handle_caller(
        self,
        caller: caller_connection.CallerConnection,
        request: caller_request.CallerRequest,
    ) -> None:
        if self._leaving:
            caller.close_after_answer()
        await self._forwarder.handle(caller, request)

    async def _handle_readiness(
        self,
        caller: caller_connection.CallerConnection,
        request: caller_request.CallerRequest,
    ) -> None:
        found = request.target.partition(b"?")[0] == self._codec.ready_path
        status = (200 if self.ready else 503) if found else 404
        _reply(caller, status, b"", b"text/plain")

    async def _handle_directory(
        self,
        caller: caller_connection.CallerConnection,
        request: caller_request.CallerRequest,
    ) -> None:
        path = request.target.partition(b"?")[0]
        if path != self._codec.directory_path:
            _reply(caller, 404, b"", b"text/plain")
            return
        now_s = time.monotonic()
        addresses = self._fleet.view.caller_addresses(
            now_s, own_ready=self.ready
        )
        if not addresses:
            _reply(caller, 503, b"", b"text/plain")
            return
        ttl_s = min(ADDRESS_TTL_S, self._settings.address_ttl_s)
        body = self._codec.encode_addresses(addresses, ttl_s)
        _reply(caller, 200, body, b"application/json")

    async def _handle_metrics(
        self,
        caller: caller_connection.CallerConnection,
        request: caller_request.CallerRequest,
    ) -> None:
        del request
        self._metrics.gauge(
            "open_caller_connections",
            "Connections of callers",
            len(self._callers),
        )
        self._metrics.gauge(
            "active_requests", "Requests under way", self._forwarder.active
        )
        self._metrics.gauge(
            "server_connections_opened",
            "Connections opened to backend servers",
            self._pool.opened,
        )
        self._metrics.gauge(
            "configuration_version",
            "Version of the configuration in force",
            self._tracker.version,
        )
        _reply(caller, 200, self._metrics.text(), b"text/plain; version=0.0.4")

    async def _handle_peer(
        self, message: peer_messages.Message
    ) -> peer_messages.Message | None:
        match message:
            case peer_messages.Status():
                self._fleet.receive(message)
                return self._status()
            case peer_messages.DeploymentQuery():
                return peer_messages.DeploymentReply(
                    self._tracker.value,
                    [
                        self._own,
                        *(found.identity for found in self._fleet.alive()),
                    ],
                )
            case peer_messages.TakeTokens():
                return await self._prepaid.answer_take(message)
            case peer_messages.ReturnTokens():
                return self._prepaid.homes.on_return(message)
            case peer_messages.HandOver():
                return self._prepaid.homes.on_hand_over(message)
            case _:
                return None

    def _status(self) -> peer_messages.Status:
        loads = {
            record.listed.server: (
                record.own.running,
                record.own.waiting_tokens,
            )
            for record in self._roster.all()
            if record.own.running
        }
        return peer_messages.Status(
            self._own,
            self._tracker.version,
            self.ready,
            self._leaving,
            self._store.reachable,
            loads,
            self._prepaid.homes.epochs(),
            self._prepaid.homes.scarce(),
            time.time(),
            self._fleet.started_at(),
        )

    async def _on_status(self, status: peer_messages.Status) -> None:
        self._sum_loads()
        self._prepaid.homes.account_for(status.sender, status.started_s)
        if status.deployment_version > self._tracker.version:
            await self._fetch_deployment(status.sender.incarnation)

    def _sum_loads(self) -> None:
        running: dict[str, int] = {}
        waiting: dict[str, int] = {}
        for member in self._fleet.alive():
            if member.status is None:
                continue
            for server, (count, tokens) in member.status.loads.items():
                running[server] = running.get(server, 0) + count
                waiting[server] = waiting.get(server, 0) + tokens
        for record in self._roster.all():
            server = record.listed.server
            record.elsewhere = server_load.ServerLoad(
                running.get(server, 0), waiting.get(server, 0)
            )

    async def _fetch_deployment(self, incarnation: str) -> None:
        try:
            reply = await self._fleet.call(
                incarnation, peer_messages.DeploymentQuery(), timeout_s=1.0
            )
        except _errors.PeerUnreachableError as exc:
            self._log.emit("configuration_not_fetched", reason=str(exc))
            return
        if isinstance(reply, peer_messages.DeploymentReply) and reply.value:
            self._tracker.offer(reply.value, incarnation)
            self._fleet.view.on_listed(reply.routers)

    def _on_deployment(self, deployment: deployment_lib.Deployment) -> None:
        self._metrics.gauge("routes", "Routes in force", len(deployment.routes))

    def _limits(self) -> caller_limits.CallerLimits:
        index = self._tracker.index
        return FIRST_LIMITS if index is None else index.deployment.limits

    def _retry_budget(self, service: str) -> retry_budget.RetryBudget:
        found = self._retries.get(service)
        if found is None:
            settings = self._settings
            routers = len(self._fleet.ranked(""))
            found = retry_budget.RetryBudget(
                ratio=settings.retry_share * RETRY_CAUTION,
                floor=int(
                    settings.extra_retries * RETRY_CAUTION / max(1, routers)
                ),
                window_s=settings.retry_window_s,
            )
            self._retries[service] = found
        return found

    def _watch_config(self) -> watch_loop.WatchLoop:
        def on_listed(entries: list[entry.Entry]) -> None:
            for found in entries:
                on_changed(found)

        def on_changed(found: entry.Entry) -> None:
            if found.key == CONFIG_KEY and found.value is not None:
                self._tracker.offer(found.value, "store")

        return watch_loop.WatchLoop(
            self._store, "config/", on_listed, on_changed
        )

    def _watch_servers(self) -> watch_loop.WatchLoop:
        def decode(found: entry.Entry) -> object:
            name = found.key.removeprefix(SERVER_PREFIX)
            server = self._codec.decode_server(name, found.value or b"")
            if server is None:
                self._log.emit("server_entry_unreadable", server=name)
            return server

        def on_listed(entries: list[entry.Entry]) -> None:
            decoded = [decode(found) for found in entries]
            self._roster.on_listed(
                [server for server in decoded if server is not None],
                time.monotonic(),
            )
            self._servers_listed = True
            self._log.emit(
                "servers_listed",
                servers=[record.listed.server for record in self._roster.all()],
            )

        def on_changed(found: entry.Entry) -> None:
            name = found.key.removeprefix(SERVER_PREFIX)
            if found.value is None:
                self._log.emit("server_removed", server=name)
                self._roster.on_removed(name, time.monotonic())
                return
            server = decode(found)
            if server is None:
                self._roster.on_removed(name, time.monotonic())
                return
            self._log.emit("server_seen", server=name, entry=server)
            self._roster.on_seen(server)

        return watch_loop.WatchLoop(
            self._store, SERVER_PREFIX, on_listed, on_changed
        )

    async def _join(self) -> None:
        """Make this router known and learn of the others."""
        for address in self._settings.seed_addresses:
            if address != self._settings.peer_address:
                self._start(self._greet(address))
        pauses_s = iter(FIRST_LISTS_S)
        registered = False
        while True:
            try:
                if not registered:
                    await self._register()
                    registered = True
                pause_s = next(pauses_s, None)
                found = await self._store.list(
                    NODE_PREFIX, allow_stale=pause_s is None
                )
                self._fleet.view.on_listed(_identities(found.entries))
                if pause_s is not None:
                    self._start(self._fleet.greet())
            except _errors.PlatformError:
                await asyncio.sleep(watch_loop.RETRY_S)
                continue
            await asyncio.sleep(pause_s or MEMBERS_INTERVAL_S)

    async def _look_up(self, node: str) -> list[node_identity.NodeIdentity]:
        try:
            found = await self._store.get(NODE_PREFIX + node)
        except _errors.PlatformError as exc:
            self._log.emit("router_not_found", router=node, reason=str(exc))
            return []
        return _identities([found])

    async def _greet(self, address: str) -> None:
        status = await self._fleet.exchange_with(address)
        if status is not None:
            await self._fetch_deployment(status.sender.incarnation)

    async def _register(self) -> None:
        key = NODE_PREFIX + self._settings.node
        try:
            version = (await self._store.get(key)).version
        except _errors.NotFoundError:
            version = 0
        await self._store.write(
            key, msgspec.json.encode(self._own), expected_version=version
        )

    async def _keep_up(self) -> None:
        while True:
            now_s = time.monotonic()
            for conn in (*self._callers, *self._others):
                conn.check(now_s)
            self._pool.expire()
            for server in self._roster.expire(now_s):
                self._log.emit("server_expired", server=server)
            await asyncio.sleep(UPKEEP_S)

    def _reload(self) -> None:
        # Addresses are bound once; the configuration comes from the store.
        self._log.emit("settings_reloaded")

    async def _leave(self, now_s: float) -> None:
        """Stop taking requests, finish those under way, give tokens back."""
        self._leaving = True
        self._fleet.view.leaving = True
        self._log.emit("router_stopping", active=self._forwarder.active)
        end_s = now_s + self._settings.grace_s - STOP_MARGIN_S
        await self._fleet.announce()
        if self._store.reachable:
            await self._prepaid.leave()
            await self._fleet.announce()
        accept_until_s = now_s + ACCEPT_AFTER_STOP_S
        while time.monotonic() < accept_until_s:
            await asyncio.sleep(UPKEEP_S / 5)
        self._forwarder.refusing = True
        if self._caller_listener is not None:
            self._caller_listener.close()
        while time.monotonic() < end_s:
            for conn in list(self._callers):
                conn.close_if_idle()
            if not self._callers:
                break
            await asyncio.sleep(UPKEEP_S / 5)
        for conn in list(self._callers):
            conn.abort()
        await self._prepaid.leave()
        self._fleet.close()
        self._store.close()
        self._log.emit("router_stopped", aborted=self._forwarder.active)

    def _start(self, work: object) -> None:
        assert asyncio.iscoroutine(work)
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._ended)

    def _ended(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self._log.emit("internal_error", error=repr(task.exception()))


def _identities(
    entries: list[entry.Entry],
) -> list[node_identity.NodeIdentity]:
    found = []
    for listed in entries:
        try:
            found.append(
                msgspec.json.decode(
                    listed.value or b"", type=node_identity.NodeIdentity
                )
            )
        except msgspec.MsgspecError:
            # Another version's entry names no router that can be reached.
            continue
    return found


def _reply(
    caller: caller_connection.CallerConnection,
    status: int,
    body: bytes,
    kind: bytes,
) -> None:
    caller.start(status, [(b"Content-Type", kind)], length=len(body))
    caller.write(body)
    caller.finish()


async def _listen(
    address: str, factory: Callable[[], asyncio.BaseProtocol]
) -> asyncio.Server:
    host, number = address.rsplit(":", 1)
    loop = asyncio.get_running_loop()
    return await loop.create_server(factory, host, int(number), backlog=BACKLOG)
