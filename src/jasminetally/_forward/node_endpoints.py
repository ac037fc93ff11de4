"""HTTP endpoints for readiness, router addresses and metrics."""

from __future__ import annotations

import time

from jasminetally._forward import caller_connection
from jasminetally._forward import caller_request
from jasminetally._forward import connection_pool
from jasminetally._forward import link_gate
from jasminetally._forward import node_state
from jasminetally._forward import reachability_monitor
from jasminetally._observe import events
from jasminetally._placing import notice_summary

# Longest time to live of an address list. It is short so that callers soon stop
# using a router that shuts down or fails.
MAX_ADDRESS_TTL_S = 1.0
PLAIN_TEXT_TYPE = b"text/plain"


class NodeEndpoints:
    """Handles requests to the endpoints of a router other than the relay.

    Args:
        state: Shared state of the router.
        pool: Pool of connections to backend servers.
        caller_connections: Open connections of callers.
        reachability: Knows the services of which no server is reached.
        link: Lets requests pass when the instance's link has room.
    """

    def __init__(
        self,
        state: node_state.NodeState,
        pool: connection_pool.ConnectionPool,
        caller_connections: set[caller_connection.CallerConnection],
        reachability: reachability_monitor.ReachabilityMonitor,
        link: link_gate.LinkGate,
    ) -> None:
        self._state = state
        self._pool = pool
        self._caller_connections = caller_connections
        self._reachability = reachability
        self._link = link

    async def handle_readiness(
        self,
        caller: caller_connection.CallerConnection,
        request: caller_request.CallerRequest,
    ) -> None:
        """Respond to the platform's readiness check: 200 if ready, else 503."""
        path_matches = request.path == self._state.codec.ready_path
        status = (200 if self._state.ready else 503) if path_matches else 404
        _send_response(caller, status, b"", PLAIN_TEXT_TYPE)

    async def handle_directory(
        self,
        caller: caller_connection.CallerConnection,
        request: caller_request.CallerRequest,
    ) -> None:
        """Respond to a caller with the addresses of the usable routers."""
        state = self._state
        if request.path != state.codec.directory_path:
            _send_response(caller, 404, b"", PLAIN_TEXT_TYPE)
            return
        addresses = state.fleet.view.caller_addresses(
            time.monotonic(),
            own_ready=state.ready,
            own_unreachable=self._reachability.unreachable_services(),
        )
        self._log_addresses(addresses)
        if not addresses:
            _send_response(caller, 503, b"", PLAIN_TEXT_TYPE)
            return
        ttl_s = min(MAX_ADDRESS_TTL_S, state.settings.address_ttl_s)
        body = state.codec.encode_addresses(addresses, ttl_s)
        _send_response(caller, 200, body, b"application/json")

    def _log_addresses(self, addresses: list[str]) -> None:
        now_s = time.monotonic()
        view = self._state.fleet.view
        alive = view.alive_members(now_s)
        ages_s = [now_s - member.last_heard_s for member in alive]
        self._state.log.emit(
            events.AddressesListed(
                addresses=addresses,
                known=len(view.members()),
                alive=len(alive),
                oldest_status_s=round(max(ages_s), 2) if ages_s else None,
            ),
            routine=True,
        )

    async def handle_metrics(
        self,
        caller: caller_connection.CallerConnection,
        request: caller_request.CallerRequest,
    ) -> None:
        """Respond with all metrics in the Prometheus text format."""
        del request
        state = self._state
        metrics = state.metrics
        records = state.server_registry.all_records()
        for name, help_text, value in (
            (
                "open_callers",
                "Connections of callers",
                len(self._caller_connections),
            ),
            (
                "opened_servers",
                "Connections opened",
                self._pool.connections_opened,
            ),
            ("configuration", "Version in force", self._state.tracker.version),
            (
                "routers",
                "Other routers alive",
                len(self._state.fleet.alive_members()),
            ),
            (
                "blocked_contents",
                "Contents of requests that are refused as they crash servers",
                self._state.crash_history.blocked_suspects(time.monotonic()),
            ),
            (
                "leaving_servers",
                "Servers that say that they leave while their entries do not",
                len(notice_summary.announced_leaving(records)),
            ),
            (
                "paused_servers",
                "Servers that have asked this router for a pause",
                notice_summary.count_paused(records, time.monotonic()),
            ),
            (
                "unreachable_services",
                "Services of which this router reaches no server",
                len(self._reachability.unreachable_services()),
            ),
            (
                "limited_servers",
                "Servers that name a limit on their requests",
                notice_summary.count_limited(records),
            ),
            (
                "link_waiting_bytes",
                "Bytes of requests that wait for the link",
                self._link.waiting_bytes,
            ),
            (
                "link_full",
                "1 while callers fill the link, so that answers come late",
                state.receive_meter.is_full(time.monotonic()),
            ),
            (
                "cold_servers",
                "Servers that are cold and get few requests",
                notice_summary.count_cold(records, time.monotonic()),
            ),
            (
                "evacuated_data_centres",
                "Data centres whose servers get no requests",
                self._state.server_registry.count_evacuated(),
            ),
            (
                "brittle_servers",
                "Servers that say that they fall over under rejections",
                notice_summary.count_brittle(records),
            ),
            ("store", "1 if the store answers", self._state.store.reachable),
        ):
            metrics.set_gauge(name, help_text, value)
        state.guards.set_gauges()
        for (call, kind), calls in self._state.store.calls.items():
            metrics.set_store_calls(call, kind, calls)
        _send_response(
            caller, 200, metrics.render_text(), b"text/plain; version=0.0.4"
        )


def _send_response(
    caller: caller_connection.CallerConnection,
    status: int,
    body: bytes,
    content_type: bytes,
) -> None:
    caller.write_head(
        status, [(b"Content-Type", content_type)], length=len(body)
    )
    caller.write_body(body)
    caller.finish_response()
