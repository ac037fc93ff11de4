"""One router process that forwards requests."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import random
import time
import traceback
from typing import Any

from jasminetally._forward import caller_connection
from jasminetally._forward import caller_request
from jasminetally._forward import connection_pool
from jasminetally._forward import forwarder as forwarder_lib
from jasminetally._forward import node_endpoints
from jasminetally._forward import node_peers
from jasminetally._forward import node_settings
from jasminetally._forward import node_state
from jasminetally._forward import node_watches
from jasminetally._forward import platform_codec
from jasminetally._observe import event_log
from jasminetally._observe import events
from jasminetally._peers import node_identity
from jasminetally._peers import peer_server
from jasminetally._placing import server_selector
from jasminetally._platform import port
from jasminetally._shared import background_tasks
from jasminetally._shared import retry_budget

# Interval of the upkeep of connections and of the list of servers.
MAINTENANCE_INTERVAL_S = 0.25
# Time after the signal to stop in which requests are still accepted, since
# callers keep an address for up to three times its time to live.
ACCEPT_AFTER_STOP_S = 3.2
# Time kept back before the forced end, to give tokens back.
STOP_MARGIN_S = 0.7
# Longest time that a stopping router spends on handing tokens over.
HAND_OVER_TIMEOUT_S = 0.5
# Interval at which a stopping router looks at its connections.
STOP_POLL_INTERVAL_S = 0.05
# Repeats this router allows itself of its share of the fleet's budget.
RETRY_BUDGET_FACTOR = 0.8
# Connections that may wait to be accepted.
LISTEN_BACKLOG = 512


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
        self._log = log
        self._tasks = background_tasks.BackgroundTasks(log)
        self._state = node_state.NodeState(settings, platform, codec, log)
        self._peers = node_peers.NodePeers(self._state, self._tasks)
        self._watches = node_watches.NodeWatches(self._state)
        self._caller_connections: set[caller_connection.CallerConnection] = (
            set()
        )
        self._endpoint_connections: set[caller_connection.CallerConnection] = (
            set()
        )
        self._peer_servers: set[peer_server.PeerServerConnection] = set()
        self._pool = connection_pool.ConnectionPool()
        self._endpoints = node_endpoints.NodeEndpoints(
            self._state, self._pool, self._caller_connections
        )
        self._retry_budgets: dict[str, retry_budget.RetryBudget] = {}
        self._forwarder = self._make_forwarder(codec)
        self._stop = asyncio.Event()
        self._listeners: list[asyncio.Server] = []

    @property
    def ready(self) -> bool:
        """Whether the router takes requests."""
        return self._state.ready

    def known_routers(self) -> list[node_identity.NodeIdentity]:
        """Return the routers that are alive and stay, with this one."""
        return self._state.fleet.ranked_routers("")

    def stop(self) -> None:
        """Begin an orderly end."""
        self._stop.set()

    def reload(self) -> None:
        """Note that the settings changed.

        Addresses are bound once, and the configuration comes from the store,
        so nothing else changes.
        """
        self._log.emit(events.SettingsReloaded())

    async def run(self) -> None:
        """Serve until told to stop, and end in an orderly way."""
        state = self._state
        state.tracker.add_listener(state.prepaid.on_deployment)
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
        for name, work in (
            ("join", self._peers.join_fleet()),
            ("statuses", state.fleet.run()),
            ("prepaid", state.prepaid.run()),
            ("watch configuration", self._watches.configuration_watch().run()),
            ("watch servers", self._watches.server_watch().run()),
            ("upkeep", self._run_maintenance()),
        ):
            self._tasks.start(name, work)
        await self._stop.wait()
        await self._shut_down(time.monotonic())

    def abort(self) -> None:
        """End at once, as a killed process does."""
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
        return forwarder_lib.Forwarder(
            names=codec.names,
            get_index=lambda: state.tracker.index,
            selector=server_selector.ServerSelector(
                state.server_registry, random.Random()
            ),
            pool=self._pool,
            prepaid=state.prepaid,
            get_retry_budget=self._get_retry_budget,
            get_store_answered_s=lambda: state.store.answered_s,
            log=self._log,
            metrics=state.metrics,
        )

    def _log_unhandled_exception(
        self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]
    ) -> None:
        """Log what nobody has handled; asyncio would print it as text."""
        del loop
        exc = context.get("exception")
        text = "".join(traceback.format_exception(exc)) if exc else ""
        self._log.emit(
            events.InternalError(where=context["message"], error=text)
        )

    async def _start_listeners(self) -> None:
        settings = self._settings
        endpoints = self._endpoints
        for address, factory in (
            (
                settings.caller_address,
                self._connection_factory(
                    self._handle_caller, self._caller_connections
                ),
            ),
            (
                settings.readiness_address,
                self._connection_factory(endpoints.handle_readiness),
            ),
            (
                settings.directory_address,
                self._connection_factory(endpoints.handle_directory),
            ),
            (
                settings.metrics_address,
                self._connection_factory(endpoints.handle_metrics),
            ),
            (
                settings.peer_address,
                lambda: peer_server.PeerServerConnection(
                    self._peers.handle_message, self._peer_servers, self._tasks
                ),
            ),
        ):
            host, number = address.rsplit(":", 1)
            listener = await asyncio.get_running_loop().create_server(
                factory, host, int(number), backlog=LISTEN_BACKLOG
            )
            self._listeners.append(listener)

    def _connection_factory(
        self,
        handler: caller_connection.RequestHandler,
        connections: set[caller_connection.CallerConnection] | None = None,
    ) -> Callable[[], caller_connection.CallerConnection]:
        open_connections = (
            self._endpoint_connections if connections is None else connections
        )
        return lambda: caller_connection.CallerConnection(
            handler, self._state.limits, open_connections
        )

    async def _handle_caller(
        self,
        caller: caller_connection.CallerConnection,
        request: caller_request.CallerRequest,
    ) -> None:
        if self._state.leaving:
            caller.close_after_response()
        await self._forwarder.handle_request(caller, request)

    def _get_retry_budget(self, service: str) -> retry_budget.RetryBudget:
        found = self._retry_budgets.get(service)
        if found is None:
            settings = self._settings
            routers = max(1, len(self.known_routers()))
            found = retry_budget.RetryBudget(
                ratio=settings.retry_ratio * RETRY_BUDGET_FACTOR,
                min_retries=int(
                    settings.min_retries * RETRY_BUDGET_FACTOR / routers
                ),
                window_s=settings.retry_window_s,
            )
            self._retry_budgets[service] = found
        return found

    async def _run_maintenance(self) -> None:
        while True:
            now_s = time.monotonic()
            for conn in (
                *self._caller_connections,
                *self._endpoint_connections,
            ):
                conn.enforce_timeouts(now_s)
            self._pool.close_expired()
            for server in self._state.server_registry.expire_removed_servers(
                now_s
            ):
                self._log.emit(events.ServerExpired(server=server))
            await asyncio.sleep(MAINTENANCE_INTERVAL_S)

    async def _shut_down(self, now_s: float) -> None:
        """Stop taking requests, finish those under way, give tokens back."""
        state = self._state
        state.leaving = True
        state.fleet.view.leaving = True
        self._log.emit(
            events.RouterStopping(active=self._forwarder.active_requests)
        )
        end_s = now_s + self._settings.grace_s - STOP_MARGIN_S
        await state.fleet.announce_status()
        if state.store.reachable:
            # Without the store a successor could hand out very little.
            await self._hand_over_tokens()
            await state.fleet.announce_status()
        while time.monotonic() < now_s + ACCEPT_AFTER_STOP_S:
            await asyncio.sleep(STOP_POLL_INTERVAL_S)
        self._forwarder.refusing_requests = True
        self._listeners[0].close()
        while self._caller_connections and time.monotonic() < end_s:
            for conn in list(self._caller_connections):
                conn.close_if_idle()
            await asyncio.sleep(STOP_POLL_INTERVAL_S)
        for conn in list(self._caller_connections):
            conn.abort()
        await self._hand_over_tokens()
        self._log.emit(
            events.RouterStopped(aborted=self._forwarder.active_requests)
        )
        self.abort()

    async def _hand_over_tokens(self) -> None:
        """Hand prepaid tokens over; a fault there must not cut off requests."""
        self._tasks.start("hand over", self._state.prepaid.shut_down())
        await self._tasks.wait("hand over", HAND_OVER_TIMEOUT_S)
