"""Watches on the configuration and on the entries of backend servers."""

from __future__ import annotations

import time

from jasminetally._forward import node_state
from jasminetally._observe import events
from jasminetally._placing import server_entry
from jasminetally._platform import entry
from jasminetally._platform import watch_loop

CONFIG_PREFIX = "config/"
CONFIG_KEY = "config/current"
SERVER_PREFIX = "server/"
# Pause after changes of server entries, so that one call fetches several of
# them: a rolling replacement of many servers changes entries all the time. A
# server that is about to leave serves for 2 s or more, so a change may be
# noticed this late.
SERVER_CHANGES_PAUSE_S = 0.5


class NodeWatches:
    """Keeps the configuration and the server registry up to date.

    Args:
        state: Shared state of the router.
    """

    def __init__(self, state: node_state.NodeState) -> None:
        self._state = state
        state.store.add_reachable_callback(
            lambda: state.server_registry.on_store_recovered(
                time.monotonic(), outage_s=state.store.last_outage_s
            )
        )
        state.store.add_restored_callback(
            lambda: state.server_registry.on_store_restored(time.monotonic())
        )

    def configuration_watch(self) -> watch_loop.WatchLoop:
        """Return a watch that applies newer configurations."""

        def on_listed(entries: list[entry.Entry]) -> None:
            for found in entries:
                on_changed(found)

        def on_changed(found: entry.Entry) -> None:
            if found.key == CONFIG_KEY and found.value is not None:
                self._state.tracker.apply_if_newer(found.value, "store")

        return watch_loop.WatchLoop(
            self._state.store, CONFIG_PREFIX, on_listed, on_changed
        )

    def server_watch(self) -> watch_loop.WatchLoop:
        """Return a watch that updates the server registry."""
        return watch_loop.WatchLoop(
            self._state.store,
            SERVER_PREFIX,
            self._on_servers_listed,
            self._on_server_changed,
            batch_delay_s=SERVER_CHANGES_PAUSE_S,
        )

    def _on_servers_listed(self, entries: list[entry.Entry]) -> None:
        state = self._state
        decoded = [self._decode_server(found) for found in entries]
        state.server_registry.on_entries_listed(
            [server for server in decoded if server is not None],
            time.monotonic(),
        )
        state.servers_listed = True
        state.log.emit(
            events.ServersListed(
                servers=[
                    record.entry.server_id
                    for record in state.server_registry.all_records()
                ]
            )
        )

    def _on_server_changed(self, found: entry.Entry) -> None:
        state = self._state
        name = found.key.removeprefix(SERVER_PREFIX)
        server = None if found.value is None else self._decode_server(found)
        if server is None:
            state.log.emit(events.ServerRemoved(server=name))
            state.server_registry.on_entry_removed(name, time.monotonic())
            return
        state.log.emit(
            events.ServerSeen(
                server=name,
                service=server.service,
                address=server.address,
                draining=server.draining,
                started_ms=server.started_ms,
                version=server.version,
            )
        )
        state.server_registry.on_entry_changed(server)

    def _decode_server(
        self, found: entry.Entry
    ) -> server_entry.ServerEntry | None:
        name = found.key.removeprefix(SERVER_PREFIX)
        server = self._state.codec.decode_server(name, found.value or b"")
        if server is None:
            self._state.log.emit(events.ServerEntryUnreadable(server=name))
        return server
