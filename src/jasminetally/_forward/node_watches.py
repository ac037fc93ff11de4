"""Watches on the configuration and on the entries of backend servers."""

from __future__ import annotations

import time

from jasminetally._forward import evacuation_watch
from jasminetally._forward import followed_watch
from jasminetally._forward import node_state
from jasminetally._forward import sentinel_follower
from jasminetally._forward import stale_watch_detector
from jasminetally._observe import events
from jasminetally._peers import peer_messages
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
# Sentinels are routers whose watches wait only for a short time, so that they
# notice a silent connection within 2 s. The others compare what they know with
# the sentinels' statuses, and watch for long, which costs fewer calls.
SENTINELS = 2
SENTINEL_KEY = "watch"
# Time after which they are determined again.
SENTINELS_TTL_S = 0.5
SENTINEL_WATCH_TIMEOUT_S = 1.0


class NodeWatches:
    """Keeps the configuration and the server registry up to date.

    Args:
        state: Shared state of the router.

    Attributes:
        configuration: Watch that applies newer configurations.
        follower: Decides whether this router relies on the sentinels.
        servers: Watch that updates the server registry.
        evacuations: Follows which data centres are evacuated.
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
        self.follower = sentinel_follower.SentinelFollower(
            state, is_sentinel=self._is_sentinel
        )
        self.configuration = self._make_configuration_watch()
        self.servers = followed_watch.FollowedWatch(
            state,
            SERVER_PREFIX,
            self._on_servers_listed,
            self._on_server_changed,
            self.follower,
            batch_delay_s=SERVER_CHANGES_PAUSE_S,
            get_timeout_s=self._watch_timeout_s,
        )
        self.evacuations = evacuation_watch.EvacuationWatch(
            state, self.follower
        )
        self._sentinels: list[str] = []
        self._sentinels_s = float("-inf")
        self._stale_servers = stale_watch_detector.StaleWatchDetector()

    def on_status(self, status: peer_messages.Status) -> None:
        """Compare the servers that another router knows with the own ones.

        Only routers that notice a silent watch by themselves are believed.
        """
        sender = status.sender.node
        is_sentinel = sender in self._sentinels
        self.evacuations.on_status(status, is_sentinel=is_sentinel)
        if is_sentinel:
            self.follower.on_status(status)
            self.servers.on_sentinel_status(status)
        if not status.servers_digest or sender not in self._sentinels:
            return
        if self._stale_servers.on_report(
            sender,
            self._state.server_registry.digest(),
            status.servers_digest,
            time.monotonic(),
        ):
            self._state.log.emit(events.WatchRestarted(objects=SERVER_PREFIX))
            self.servers.renew(status.sender.incarnation)

    def update_sentinels(self, now_s: float) -> None:
        """Determine the routers whose watches wait only for a short time.

        Those that reach the store come first. A router that becomes one of
        them watches on new connections at once: the ones before may have ended
        together with the connections of the watches that wait here.

        Args:
            now_s: Monotonic time in seconds.
        """
        if now_s - self._sentinels_s < SENTINELS_TTL_S:
            return
        self._sentinels_s = now_s
        was_sentinel = self._is_sentinel()
        delegates = self._state.fleet.store_delegates(SENTINEL_KEY)
        sentinels = [router.node for router in delegates[:SENTINELS]]
        if sentinels != self._sentinels:
            self._state.log.emit(events.SentinelsChanged(sentinels=sentinels))
        self._sentinels = sentinels
        if self._is_sentinel() and not was_sentinel:
            self._state.store.distrust_connections()
            self.configuration.restart()
            self.servers.loop.restart()
            self.evacuations.loop.restart()

    def on_configuration_missed(self) -> None:
        """Restart the watch on the configuration, which is behind others."""
        self._state.log.emit(events.WatchRestarted(objects=CONFIG_PREFIX))
        self.configuration.restart()

    def _is_sentinel(self) -> bool:
        return self._state.settings.node in self._sentinels

    def _watch_timeout_s(self) -> float:
        if self._is_sentinel():
            return SENTINEL_WATCH_TIMEOUT_S
        return watch_loop.WATCH_TIMEOUT_S

    def _make_configuration_watch(self) -> watch_loop.WatchLoop:
        """Return a watch that applies newer configurations."""

        def on_listed(entries: list[entry.Entry]) -> None:
            for found in entries:
                on_changed(found)

        def on_changed(found: entry.Entry) -> None:
            if found.key == CONFIG_KEY and found.value is not None:
                self._state.tracker.apply_if_newer(found.value, "store")

        return watch_loop.WatchLoop(
            self._state.store,
            CONFIG_PREFIX,
            on_listed,
            on_changed,
            get_timeout_s=self._watch_timeout_s,
            is_followed=lambda: (
                self._state.tracker.index is not None
                and self.follower.follows()
            ),
            get_max_retry_delay_s=self.follower.max_retry_delay_s,
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
        if server.cold_s:
            state.log.emit(
                events.ServerCold(
                    server=name, cold_s=round(server.cold_s, 3), source="entry"
                )
            )
            state.server_registry.notices.on_cold_named(
                server, server.cold_s, time.monotonic()
            )

    def _decode_server(
        self, found: entry.Entry
    ) -> server_entry.ServerEntry | None:
        name = found.key.removeprefix(SERVER_PREFIX)
        server = self._state.codec.decode_server(name, found.value or b"")
        if server is None:
            self._state.log.emit(events.ServerEntryUnreadable(server=name))
        return server
