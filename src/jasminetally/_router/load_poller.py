"""Polling of the load that engines report."""

from __future__ import annotations

import threading
import time
from typing import TYPE_CHECKING
from typing import Any

import pykka

from jasminetally._routing import events

if TYPE_CHECKING:
    from jasminetally._router import backend_client
    from jasminetally._router import fleet_state
    from jasminetally._router import router_hooks

POLL_INTERVAL_S = 1.0
# Bounds the reads of one poll, so that a large fleet of engines costs a router
# no more than a small one. The other engines follow in the next polls.
MAX_ENGINES_PER_POLL = 16


class LoadPoller:
    """Read the load and drain state of the engines, some in each poll.

    Args:
        fleet: State shared by the threads of the router.
        backends: Client for backend servers.
        dispatch: Dispatch actor.
        hooks: Applies changes of the drain state.
    """

    def __init__(
        self,
        *,
        fleet: fleet_state.FleetState,
        backends: backend_client.BackendClient,
        dispatch: pykka.ActorRef,
        hooks: router_hooks.RouterHooks,
    ) -> None:
        self._fleet = fleet
        self._backends = backends
        self._dispatch = dispatch
        self._hooks = hooks
        self._next_engine = 0
        self._draining: set[str] = set()
        self._stopped = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name="load", daemon=True
        )

    def start(self) -> None:
        """Start the polling thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the polling thread."""
        self._stopped.set()

    def _run(self) -> None:
        while not self._stopped.wait(POLL_INTERVAL_S):
            config = self._fleet.config_lookup
            if config is None:
                continue
            engines = [
                server
                for server in config.manifest.backend_servers.values()
                if server.kind == "engine"
            ]
            for _ in range(min(MAX_ENGINES_PER_POLL, len(engines))):
                self._next_engine = (self._next_engine + 1) % len(engines)
                try:
                    self._read_engine(engines[self._next_engine])
                except pykka.ActorDeadError:
                    return

    def _read_engine(self, server: Any) -> None:
        load = self._backends.read_json(server.address, "/v1/load")
        if load is not None and {"running", "waiting"} <= load.keys():
            self._dispatch.tell(
                events.LoadReport(
                    server.name,
                    int(load["running"]),
                    int(load["waiting"]),
                    float(load.get("kv_used", 0.0)),
                    time.monotonic(),
                )
            )
        state = self._backends.read_json(server.address, "/v1/state")
        if state is None:
            return
        if state.get("draining"):
            self._draining.add(server.name)
            self._hooks.drain_server(server.name)
        elif server.name in self._draining:
            self._draining.discard(server.name)
            self._hooks.list_server(server)
