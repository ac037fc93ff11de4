"""Router process: listeners, background tasks, start and shutdown."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import random
import time
import traceback
from typing import Any

from jasminetally._deployment import deployment as deployment_lib
from jasminetally._forward import caller_connection
from jasminetally._forward import caller_request
from jasminetally._forward import connection_pool
from jasminetally._forward import crash_guard
from jasminetally._forward import forwarder as forwarder_lib
from jasminetally._forward import late_identifier
from jasminetally._forward import limited_listener
from jasminetally._forward import link_gate
from jasminetally._forward import node_endpoints
from jasminetally._forward import node_peers
from jasminetally._forward import node_settings
from jasminetally._forward import node_state
from jasminetally._forward import node_watches
from jasminetally._forward import notice_reader
from jasminetally._forward import platform_codec
from jasminetally._forward import process_identifier
from jasminetally._forward import reachability_monitor
from jasminetally._forward import request_log
from jasminetally._forward import retry_budgets
from jasminetally._forward import router_relay
from jasminetally._forward import silent_server_monitor
from jasminetally._forward import slot_exchange
from jasminetally._forward import token_reservation
from jasminetally._observe import event_log
from jasminetally._observe import events
from jasminetally._overload import listener_guard
from jasminetally._peers import node_identity
from jasminetally._peers import peer_server
from jasminetally._placing import connection_history
from jasminetally._placing import evacuations
from jasminetally._placing import server_registry
from jasminetally._placing import server_selector
from jasminetally._platform import port
from jasminetally._shared import background_tasks
from jasminetally._streams import history_store
from jasminetally._streams import origin_service
from jasminetally._streams import stream_history
from jasminetally._streams import stream_recorder

# Interval at which the timeouts of connections and of removed servers are
# checked.
MAINTENANCE_INTERVAL_S = 0.25
# Time after the signal to stop in which requests are still accepted, because
# callers use an address for up to three times its time to live.
ACCEPT_AFTER_STOP_S = 3.2
# Time before the forced end of the process that is reserved for returning
# prepaid tokens.
STOP_MARGIN_S = 0.7
# Part of the time to stop in which requests still under way get errors.
ERRORS_TIME_S = 0.2
# Longest time that a router that shuts down spends on handing over shards and
# returning prepaid tokens.
HAND_OVER_TIMEOUT_S = 0.5
# Interval at which a router that shuts down checks its connections.
STOP_POLL_INTERVAL_S = 0.05


class Node:
    """Router process on the users' platform.

    It connects callers, backend servers, other routers and the platform's
    store.

    Args:
        settings: Settings of the router.
        platform: The platform's store.
        codec: Formats and header names of the platform.
        log: Receives the log events.
    """

    def __init__(
        self,
        settings: node_settings.NodeSettings,
        platform: port.PlatformPort,
        codec: platform_codec.PlatformCodec,
        log: event_log.EventLog,
    ) -> None:
        self._settings = settings
        self._log = log
        self._tasks = background_tasks.BackgroundTasks(log)
        self._state = node_state.NodeState(settings, platform, codec, log)
        self._watches = node_watches.NodeWatches(self._state)
        self._caller_connections: set[caller_connection.CallerConnection] = (
            set()
        )
        self._endpoint_connections: set[caller_connection.CallerConnection] = (
            set()
        )
        self._peer_servers: set[peer_server.PeerServerConnection] = set()
        history = connection_history.ConnectionHistory()
        self._pool = connection_pool.ConnectionPool(
            history, self._state.fleet.patience
        )
        self._reachability = reachability_monitor.ReachabilityMonitor(
            registry=self._state.server_registry,
            history=history,
            pool=self._pool,
            announce=self._state.fleet.announce_status,
            tasks=self._tasks,
            log=log,
        )
        self._silent_servers = silent_server_monitor.SilentServerMonitor(
            self._state.server_registry, self._pool, self._tasks, log
        )
        self._link = link_gate.LinkGate(settings.link_mbps)
        self._relay = router_relay.RouterRelay(
            settings.node,
            codec.names,
            lambda service: self._state.fleet.view.routers_reaching(
                service, time.monotonic()
            ),
            log,
        )
        self._notices = notice_reader.NoticeReader(
            codec.names,
            self._state.server_registry,
            self._pool,
            log,
            lambda: self._tasks.start_concurrent(
                "announce notices", self._state.fleet.announce_status()
            ),
        )
        self._stream_history = stream_history.StreamHistory()
        self._stream_recorder = stream_recorder.StreamRecorder(
            self._state.store, self._state.fleet, log
        )
        self._origins = origin_service.OriginService(
            self._stream_history,
            self._stream_recorder,
            self._state.fleet,
            self._tasks,
            self._watches.servers.loop.coverage,
            self._state.server_registry.process_versions,
        )
        self._history_store = history_store.HistoryStore(
            self._state.store,
            self._stream_history,
            self._state.fleet,
            log,
            first_start=settings.first_start,
            on_ambiguous=self._origins.on_ambiguous,
        )
        self._watches.servers.loop.coverage.add_gap_callback(
            self._history_store.on_changes_missed
        )
        self._selector = server_selector.ServerSelector(
            self._state.server_registry, random.Random(), self._leaving_delay_s
        )
        self._slots = slot_exchange.SlotExchange(
            self._state.server_registry,
            self._selector,
            self._state.fleet,
            self._tasks,
            log,
        )
        self._peers = node_peers.NodePeers(
            self._state,
            self._tasks,
            self._notices,
            self._origins,
            self._watches,
            self._reachability,
            self._slots,
        )
        self._endpoints = node_endpoints.NodeEndpoints(
            self._state,
            self._pool,
            self._caller_connections,
            self._reachability,
            self._link,
        )
        self._retry_budgets = retry_budgets.RetryBudgets(
            settings,
            lambda: len(self._state.fleet.view.sending_nodes(time.monotonic())),
        )
        self._forwarder = self._make_forwarder(codec)
        self._stop = asyncio.Event()
        self._listeners: list[limited_listener.LimitedListener] = []

    @property
    def ready(self) -> bool:
        """Whether the router accepts requests."""
        return self._state.ready

    def known_routers(self) -> list[node_identity.NodeIdentity]:
        """Return the active routers, including this one.

        Routers that are shutting down are left out.
        """
        return self._state.fleet.ranked_routers("")

    @property
    def server_registry(self) -> server_registry.ServerRegistry:
        """Backend servers that this router knows."""
        return self._state.server_registry

    @property
    def evacuations(self) -> evacuations.Evacuations | None:
        """Data centres whose servers get no requests; None if not known."""
        return self._watches.evacuations.view

    @property
    def follows_sentinels(self) -> bool:
        """Whether other routers tell this one the changes in the store."""
        return self._watches.follower.follows()

    def stop(self) -> None:
        """Start a graceful shutdown; ``run`` returns when it is complete."""
        self._stop.set()

    def reload(self) -> None:
        """Log a signal to reload the settings; nothing is reloaded.

        Addresses are bound once, and the configuration comes from the store.
        """
        self._log.emit(events.SettingsReloaded())

    async def run(self) -> None:
        """Serve requests until ``stop`` is called, then shut down."""
        state = self._state
        state.tracker.add_listener(state.prepaid.on_deployment)
        state.tracker.add_listener(self._on_deployment)
        state.tracker.add_listener(
            lambda deployment: (
                state.server_registry.notices.on_services_changed(
                    deployment.services
                )
            )
        )
        asyncio.get_running_loop().set_exception_handler(
            self._log_unhandled_exception
        )
        await self._start_listeners()
        self._log.emit(
            events.RouterStarted(
                incarnation=state.own_identity.incarnation,
                callers=self._settings.caller_address,
                peers=self._settings.peer_address,
            )
        )
        for name, run in (
            ("join", self._peers.join_fleet),
            ("statuses", state.fleet.run),
            ("prepaid", state.prepaid.run),
            ("store crashes", state.crash_store.run),
            ("store stream history", self._history_store.run),
            ("record streams", self._stream_recorder.run),
            ("watch configuration", self._watches.configuration.run),
            ("watch servers", self._watches.servers.loop.run),
            ("watch evacuations", self._watches.evacuations.run),
            ("upkeep", self._run_maintenance),
        ):
            self._tasks.keep_running(name, run)
        await self._stop.wait()
        await self._shut_down(time.monotonic())

    def abort(self) -> None:
        """Cancel all tasks and close all connections at once.

        Without a preceding graceful shutdown, other routers and callers see
        the same as after a kill of the process.
        """
        self._tasks.cancel_all()
        for listener in self._listeners:
            listener.close()
        for conn in (*self._caller_connections, *self._endpoint_connections):
            conn.abort()
        for peer in list(self._peer_servers):
            peer.close()
        self._state.fleet.close()
        self._state.store.close()

    def _make_forwarder(
        self, codec: platform_codec.PlatformCodec
    ) -> forwarder_lib.Forwarder:
        state = self._state
        versions = state.server_registry.process_versions
        identifier = process_identifier.ProcessIdentifier(
            self._pool, codec, state.metrics.count_report, self._log
        )
        return forwarder_lib.Forwarder(
            names=codec.names,
            get_index=lambda: state.tracker.index,
            selector=self._selector,
            slots=self._slots,
            pool=self._pool,
            identifier=identifier,
            late_identifier=late_identifier.LateIdentifier(
                identifier, versions, self._origins, self._tasks
            ),
            versions=versions,
            crash_guard=crash_guard.CrashGuard(
                history=state.crash_history,
                pool=self._pool,
                announce=state.fleet.announce_status,
                save=state.crash_store.save,
                tasks=self._tasks,
                log=self._log,
            ),
            notices=self._notices,
            reachability=self._reachability,
            relay=self._relay,
            link=self._link,
            tokens=token_reservation.TokenReservation(state.prepaid),
            get_retry_budget=self._retry_budgets.get,
            origins=self._origins,
            request_log=request_log.RequestLog(
                self._log, state.metrics, lambda: state.store.last_answer_s
            ),
            data_centre=self._settings.data_centre,
        )

    def _leaving_delay_s(self, data_centre: str) -> float:
        """Return what sending a request to a data centre costs, in seconds."""
        if data_centre == self._settings.data_centre:
            return 0.0
        return self._settings.leaving_price_s + (
            self._state.fleet.round_trips.extra_delay_s(data_centre)
        )

    def _log_unhandled_exception(
        self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]
    ) -> None:
        """Log an exception as an event; asyncio would print it as text."""
        del loop
        exc = context.get("exception")
        text = "".join(traceback.format_exception(exc)) if exc else ""
        self._log.emit(
            events.InternalError(where=context["message"], error=text)
        )

    async def _start_listeners(self) -> None:
        settings = self._settings
        endpoints = self._endpoints
        guards = self._state.guards
        for address, guard, factory in (
            (
                settings.caller_address,
                guards.callers,
                self._connection_factory(
                    self._handle_caller,
                    guards.callers,
                    self._caller_connections,
                ),
            ),
            (
                settings.readiness_address,
                guards.readiness,
                self._connection_factory(
                    endpoints.handle_readiness, guards.readiness
                ),
            ),
            (
                settings.directory_address,
                guards.directory,
                self._connection_factory(
                    endpoints.handle_directory, guards.directory
                ),
            ),
            (
                settings.metrics_address,
                guards.metrics,
                self._connection_factory(
                    endpoints.handle_metrics, guards.metrics
                ),
            ),
            (
                settings.peer_address,
                guards.peers,
                lambda: peer_server.PeerServerConnection(
                    self._peers.handle_message,
                    self._peer_servers,
                    self._tasks,
                    guards.peers,
                ),
            ),
        ):
            self._listeners.append(
                limited_listener.LimitedListener.start(address, factory, guard)
            )

    def _connection_factory(
        self,
        handler: caller_connection.RequestHandler,
        guard: listener_guard.ListenerGuard,
        connections: set[caller_connection.CallerConnection] | None = None,
    ) -> Callable[[], caller_connection.CallerConnection]:
        open_connections = (
            self._endpoint_connections if connections is None else connections
        )
        return lambda: caller_connection.CallerConnection(
            handler,
            self._state.limits,
            open_connections,
            self._link.counter,
            self._state.receive_meter,
            guard,
        )

    async def _handle_caller(
        self,
        caller: caller_connection.CallerConnection,
        request: caller_request.CallerRequest,
    ) -> None:
        if self._state.leaving:
            caller.close_when_answered()
        await self._forwarder.handle_request(caller, request)

    async def _run_maintenance(self) -> None:
        while True:
            now_s = time.monotonic()
            for conn in (
                *self._caller_connections,
                *self._endpoint_connections,
                *self._peer_servers,
            ):
                conn.enforce_timeouts(now_s)
            self._state.guards.update(now_s)
            self._pool.close_expired()
            self._relay.close_expired()
            self._reachability.update(now_s)
            self._peers.drop_loads_of_dead_routers()
            self._silent_servers.update(now_s)
            self._slots.forget_expired_loans(now_s)
            self._state.server_registry.notices.update_shares(
                self._state.server_registry.all_records(), now_s
            )
            self._update_versions(now_s)
            self._watches.update_sentinels(now_s)
            for server in self._state.server_registry.expire_removed_servers(
                now_s
            ):
                self._log.emit(events.ServerExpired(server=server))
            await asyncio.sleep(MAINTENANCE_INTERVAL_S)

    def _update_versions(self, now_s: float) -> None:
        """Note the versions of the servers, and announce streams if needed."""
        self._origins.on_ambiguous(
            self._stream_history.on_servers(
                self._state.server_registry.versions(), now_s
            )
        )

    def _on_deployment(self, deployment: deployment_lib.Deployment) -> None:
        """Note where the routes of a new configuration lead."""
        self._origins.on_ambiguous(
            self._stream_history.on_routes(deployment.routes, time.monotonic())
        )

    async def _shut_down(self, now_s: float) -> None:
        """Shut down gracefully.

        New requests are accepted for a while and then refused, requests in
        flight are finished, and prepaid tokens are returned.

        Args:
            now_s: Monotonic time in seconds of the signal to stop.
        """
        state = self._state
        state.leaving = True
        state.fleet.view.leaving = True
        self._log.emit(
            events.RouterStopping(active=self._forwarder.active_requests)
        )
        end_s = now_s + self._settings.grace_s - STOP_MARGIN_S
        errors_s = end_s - ERRORS_TIME_S
        self._forwarder.begin_stop(now_s, errors_s)
        self._tasks.start("announce the stop", self._announce_stop())
        accept_until_s = min(now_s + ACCEPT_AFTER_STOP_S, errors_s)
        while time.monotonic() < accept_until_s:
            await asyncio.sleep(STOP_POLL_INTERVAL_S)
        self._forwarder.refusing_requests = True
        self._listeners[0].close()
        await self._close_idle_until(errors_s)
        self._forwarder.end_requests()
        # A process that stood still may be late; the errors need their time.
        await self._close_idle_until(
            max(end_s, time.monotonic() + ERRORS_TIME_S)
        )
        aborted = (
            self._forwarder.active_requests + self._forwarder.aborted_by_stop
        )
        for conn in list(self._caller_connections):
            conn.abort()
        await self._hand_over_tokens()
        self._log.emit(events.RouterStopped(aborted=aborted))
        self.abort()

    async def _announce_stop(self) -> None:
        """Tell the other routers about the shutdown, and hand over shards.

        This runs as a background task: routers that answer late, or a failure,
        must not delay the end of requests past that of the process.
        """
        state = self._state
        await state.fleet.announce_status()
        if state.store.reachable:
            # During a store outage, a new owner could hand out few tokens, so
            # this router keeps its shards while it still serves requests.
            await self._hand_over_tokens()
            await state.fleet.announce_status()

    async def _close_idle_until(self, end_s: float) -> None:
        """Close callers' connections as they become idle.

        Args:
            end_s: Monotonic time in seconds to return at, unless all are closed
                before.
        """
        while self._caller_connections and time.monotonic() < end_s:
            for conn in list(self._caller_connections):
                conn.close_if_idle()
            await asyncio.sleep(STOP_POLL_INTERVAL_S)

    async def _hand_over_tokens(self) -> None:
        """Hand over shards and return prepaid tokens.

        This runs as a background task, so that a failure or a delay does not
        interrupt requests in flight.
        """
        self._tasks.start("hand over", self._state.prepaid.shut_down())
        await self._tasks.wait("hand over", HAND_OVER_TIMEOUT_S)
