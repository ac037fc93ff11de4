"""Reader of the load that backend servers report."""

from __future__ import annotations

import threading
import time
from typing import TYPE_CHECKING
from typing import Any

import pykka

from jasminetally._routing import events

if TYPE_CHECKING:
    from jasminetally._router import backend_client
    from jasminetally._router import fleet
    from jasminetally._router import router_hooks

PERIOD_S = 1.0
# Servers read in one period; the others follow in the next ones, so that a
# large fleet of engines costs a router no more than a small one.
READS_FOR_EACH_PERIOD = 16


class LoadPoller:
    """Read load and drain marks of the engines, some in each period."""

    def __init__(
        self,
        *,
        known: fleet.Fleet,
        backends: backend_client.BackendClient,
        dispatch: pykka.ActorRef,
        hooks: router_hooks.RouterHooks,
    ) -> None:
        self._fleet = known
        self._backends = backends
        self._dispatch = dispatch
        self._hooks = hooks
        self._next = 0
        self._draining: set[str] = set()
        self._stopped = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name="load", daemon=True
        )

    def start(self) -> None:
        """Begin to read."""
        self._thread.start()

    def stop(self) -> None:
        """End the thread."""
        self._stopped.set()

    def _run(self) -> None:
        while not self._stopped.wait(PERIOD_S):
            found = self._fleet.catalogue
            if found is None:
                continue
            engines = [
                server
                for server in found.manifest.backend_servers.values()
                if server.kind == "engine"
            ]
            for _ in range(min(READS_FOR_EACH_PERIOD, len(engines))):
                self._next = (self._next + 1) % len(engines)
                try:
                    self._read(engines[self._next])
                except pykka.ActorDeadError:
                    return

    def _read(self, server: Any) -> None:
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
            self._hooks.server_leaving(server.name)
        elif server.name in self._draining:
            self._draining.discard(server.name)
            self._hooks.server_seen(server)
