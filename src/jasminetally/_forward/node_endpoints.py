"""Small HTTP endpoints of a router: readiness, addresses, metrics."""

from __future__ import annotations

import time

from jasminetally._forward import caller_connection
from jasminetally._forward import caller_request
from jasminetally._forward import node_state
from jasminetally._forward import server_pool

# Time to live of an address list: short, so that callers leave a router that
# stops or dies.
ADDRESS_TTL_S = 1.0
PLAIN = b"text/plain"


class NodeEndpoints:
    """Answer the platform, callers that ask for addresses, and operators."""

    def __init__(
        self,
        state: node_state.NodeState,
        pool: server_pool.ServerPool,
        callers: set[caller_connection.CallerConnection],
    ) -> None:
        self._state = state
        self._pool = pool
        self._callers = callers

    async def readiness(
        self,
        caller: caller_connection.CallerConnection,
        request: caller_request.CallerRequest,
    ) -> None:
        """Say whether the router takes requests."""
        found = _path(request) == self._state.codec.ready_path
        status = (200 if self._state.ready else 503) if found else 404
        _reply(caller, status, b"", PLAIN)

    async def directory(
        self,
        caller: caller_connection.CallerConnection,
        request: caller_request.CallerRequest,
    ) -> None:
        """Name the routers that callers may use."""
        state = self._state
        if _path(request) != state.codec.directory_path:
            _reply(caller, 404, b"", PLAIN)
            return
        addresses = state.fleet.view.caller_addresses(
            time.monotonic(), own_ready=state.ready
        )
        if not addresses:
            _reply(caller, 503, b"", PLAIN)
            return
        ttl_s = min(ADDRESS_TTL_S, state.settings.address_ttl_s)
        body = state.codec.encode_addresses(addresses, ttl_s)
        _reply(caller, 200, body, b"application/json")

    async def metrics(
        self,
        caller: caller_connection.CallerConnection,
        request: caller_request.CallerRequest,
    ) -> None:
        """Return counters, gauges and histograms."""
        del request
        metrics = self._state.metrics
        for name, text, value in (
            ("open_callers", "Connections of callers", len(self._callers)),
            ("opened_servers", "Connections opened", self._pool.opened),
            ("configuration", "Version in force", self._state.tracker.version),
            (
                "routers",
                "Other routers alive",
                len(self._state.fleet.alive_members()),
            ),
            ("store", "1 if the store answers", self._state.store.reachable),
        ):
            metrics.set_gauge(name, text, value)
        _reply(caller, 200, metrics.render_text(), b"text/plain; version=0.0.4")


def _path(request: caller_request.CallerRequest) -> bytes:
    return request.target.partition(b"?")[0]


def _reply(
    caller: caller_connection.CallerConnection,
    status: int,
    body: bytes,
    kind: bytes,
) -> None:
    caller.start(status, [(b"Content-Type", kind)], length=len(body))
    caller.write(body)
    caller.finish()
