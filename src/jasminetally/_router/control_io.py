"""Execution of the effects of configuration, membership and drain."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from loguru import logger

from jasminetally import _errors
from jasminetally._config import config_codec
from jasminetally._config import peer_events
from jasminetally._config import platform_events
from jasminetally._membership import list_events
from jasminetally._membership import router_state
from jasminetally._membership import status_codec
from jasminetally._membership import status_events
from jasminetally._router import control_messages
from jasminetally._router import gossip_codec

if TYPE_CHECKING:
    from collections.abc import Callable
    import concurrent.futures

    import pykka

    from jasminetally._config import peer_effects
    from jasminetally._config import platform_effects
    from jasminetally._config import stored_config
    from jasminetally._membership import drain_effects
    from jasminetally._membership import drain_events
    from jasminetally._membership import instance_view
    from jasminetally._platform import port
    from jasminetally._router import fleet_state
    from jasminetally._router import peer_client
    from jasminetally._router import router_hooks
    from jasminetally._wire.gen.peer import ttypes

PROBE_TIMEOUT_S = 0.5
# Timeout of a fetch from a peer, and the pause before the next read while the
# platform has no configuration.
CONFIG_FETCH_TIMEOUT_S = 0.5


class ControlIo:
    """Execute effects of the control actor.

    Args:
        platform: Platform.
        watches: Platform client whose connections are used for watches only.
        peers: Client for messages to other routers.
        fleet: State shared by the threads of the router; written only by this
            object.
        hooks: Applies changes of configuration, membership and drain to the
            other components.
        pool: Worker threads.
        watch_pool: Worker threads for watches, each of which waits for seconds.
    """

    def __init__(
        self,
        *,
        platform: port.PlatformPort,
        watches: port.PlatformPort,
        peers: peer_client.PeerClient,
        fleet: fleet_state.FleetState,
        hooks: router_hooks.RouterHooks,
        pool: concurrent.futures.Executor,
        watch_pool: concurrent.futures.Executor,
    ) -> None:
        self._platform = platform
        self._watches = watches
        self._peers = peers
        self._fleet = fleet
        self._hooks = hooks
        self._pool = pool
        self._watch_pool = watch_pool
        self._ready_instances: set[str] = set()
        self._instances: tuple[str, ...] | None = None
        self._reported_deaths: tuple | None = None

    def watch_config(
        self, ref: pykka.ActorRef, effect: platform_effects.WatchConfig
    ) -> None:
        """Watch the configuration."""
        self._watch_pool.submit(self._watch_and_report, ref, effect)

    def probe_peer(self, ref: pykka.ActorRef, peer: str) -> None:
        """Send a probe to a peer."""
        self._pool.submit(self._probe_and_report, ref, peer)

    def fetch_config(
        self, ref: pykka.ActorRef, effect: peer_effects.FetchConfig
    ) -> None:
        """Fetch the configuration from a peer."""
        self._pool.submit(self._fetch_and_report, ref, effect)

    def read_members(self, ref: pykka.ActorRef) -> None:
        """Read the platform's list and the status objects."""
        self._pool.submit(self._read_members_and_report, ref)

    def put_in_force(
        self, stored: stored_config.StoredConfig, value: bytes
    ) -> None:
        """Put a configuration in force."""
        self._hooks.put_in_force(stored, value)

    def publish_state(
        self, state: router_state.RouterState, *, ready: bool
    ) -> None:
        """Publish the state of this router and its readiness."""
        self._hooks.publish_state(state, ready=ready)

    def publish_gossip(self, items: list[ttypes.NewsItem]) -> None:
        """Set the gossip items that replies to probes contain."""
        self._fleet.gossip_items = items

    def publish_view(
        self, view: instance_view.InstanceView, reachable: tuple[str, ...]
    ) -> None:
        """Update the shared state from the instance view.

        Components are notified only of what has changed.
        """
        routers = view.routers()
        instances = tuple(sorted(routers))
        self._fleet.peers = {
            status.incarnation: status for status in routers.values()
        }
        self._fleet.addresses = view.addresses()
        self._fleet.deaths = frozenset(view.deaths)
        acknowledged = tuple(
            (status.incarnation, status.deaths) for status in routers.values()
        )
        if (acknowledged, view.deaths) != self._reported_deaths:
            self._reported_deaths = (acknowledged, view.deaths)
            self._hooks.report_acknowledged_deaths(self._fleet.deaths)
        if reachable != self._fleet.reachable:
            self._fleet.reachable = reachable
            self._hooks.reachable_peers_changed(reachable)
        ready = {
            name
            for name, status in routers.items()
            if status.state is router_state.RouterState.READY
        }
        if view.own_state is router_state.RouterState.READY:
            ready.add(self._fleet.instance)
        if ready != self._ready_instances:
            self._ready_instances = ready
            self._hooks.ready_routers_changed(frozenset(ready))
        if instances != self._instances:
            self._instances = instances
            self._hooks.fleet_size_changed()

    def acknowledge_death(
        self, incarnation: str, deaths: tuple[str, ...]
    ) -> None:
        """Publish that this router acknowledges the death of an incarnation."""
        self._hooks.peer_died(incarnation, deaths)

    def drain_server(self, server: str) -> None:
        """Send no new requests to a backend server."""
        self._hooks.drain_server(server)

    def stop_superseded(self, reason: str) -> None:
        """Stop this process at once, since another one runs its instance."""
        self._hooks.stop_superseded(reason)

    def remaining_work(self) -> drain_events.RemainingWork | None:
        """Return the work left before the exit; None before the drain."""
        if not self._fleet.draining.is_set():
            return None
        return self._hooks.remaining_work()

    def perform_drain_step(self, step: drain_effects.DrainStep) -> None:
        """Perform one step of the drain."""
        self._hooks.perform_drain_step(step)

    def exit_process(self, code: int) -> None:
        """End the process with an exit code."""
        self._hooks.exit_process(code)

    def _watch_and_report(
        self, ref: pykka.ActorRef, effect: platform_effects.WatchConfig
    ) -> None:
        time.sleep(effect.delay_s)
        try:
            event = self._read_or_watch_config(effect)
        except _errors.PlatformError as exc:
            retry_s = getattr(exc, "retry_after_s", 0.0)
            logger.debug("config: watch failed, will be repeated: {}", exc)
            event = platform_events.WatchFailed(effect.attempt, retry_s)
        _tell_if_alive(ref, event)

    def _read_or_watch_config(
        self, effect: platform_effects.WatchConfig
    ) -> platform_events.WatchReturned:
        key = config_codec.CONFIG_KEY
        if not effect.after_version:
            try:
                entry = self._watches.get(key)
            except _errors.NotFoundError:
                time.sleep(CONFIG_FETCH_TIMEOUT_S)
                return platform_events.WatchReturned(effect.attempt, None, 0)
            return platform_events.WatchReturned(
                effect.attempt, entry.value, entry.version
            )
        changes = self._watches.watch(
            key,
            after_version=effect.after_version,
            timeout_s=effect.timeout_s,
        )
        for entry in changes.entries:
            if entry.key == key and entry.value is not None:
                return platform_events.WatchReturned(
                    effect.attempt, entry.value, entry.version
                )
        return platform_events.WatchReturned(effect.attempt, None, 0)

    def _probe_and_report(self, ref: pykka.ActorRef, peer: str) -> None:
        sender = self._peers.build_sender()
        items = self._fleet.gossip_items
        try:
            reply = self._peers.call(
                peer,
                lambda client: client.probe(sender, items),
                timeout_s=PROBE_TIMEOUT_S,
            )
        except _errors.PeerUnreachableError as exc:
            logger.debug("membership: probe of {} failed: {}", peer, exc)
            _tell_if_alive(ref, peer_events.PeerFailed(peer))
            return
        _tell_if_alive(ref, to_peer_message(reply.sender, reply.news))

    def _fetch_and_report(
        self, ref: pykka.ActorRef, effect: peer_effects.FetchConfig
    ) -> None:
        sender = self._peers.build_sender()
        try:
            reply = self._peers.call(
                effect.peer,
                lambda client: client.fetch_config(
                    sender, effect.minimum_revision
                ),
                timeout_s=CONFIG_FETCH_TIMEOUT_S,
            )
        except _errors.PeerUnreachableError as exc:
            logger.debug("config: fetch from {} failed: {}", effect.peer, exc)
            _tell_if_alive(ref, peer_events.PeerFailed(effect.peer))
            return
        _tell_if_alive(ref, peer_events.ConfigFetched(effect.peer, reply.value))

    def _read_members_and_report(self, ref: pykka.ActorRef) -> None:
        try:
            listed = self._platform.list(status_codec.INSTANCE_LIST_PREFIX)
            _tell_if_alive(
                ref,
                list_events.ListRead(
                    _decode_entries(
                        listed.entries, status_codec.decode_listed_instance
                    )
                ),
            )
            statuses = self._platform.list(status_codec.STATUS_PREFIX)
        except _errors.PlatformError as exc:
            logger.debug("membership: list or status objects not read: {}", exc)
            return
        _tell_if_alive(
            ref,
            status_events.StatusesRead(
                _decode_entries(statuses.entries, status_codec.decode_status)
            ),
        )


def to_peer_message(
    sender: ttypes.Sender, items: list[ttypes.NewsItem]
) -> control_messages.PeerMessage:
    """Convert the sender and the gossip items of a peer's message."""
    return control_messages.PeerMessage(
        sender.incarnation,
        sender.revision,
        gossip_codec.decode_state(items),
        tuple(gossip_codec.decode_evidence(items)),
    )


def _decode_entries(entries: list, decode: Callable) -> tuple:
    """Decode objects; skip those that can't be decoded."""
    decoded = []
    for entry in entries:
        try:
            decoded.append(decode(entry))
        except _errors.PlatformError as exc:
            logger.warning("membership: object skipped: {}", exc)
    return tuple(decoded)


def _tell_if_alive(ref: pykka.ActorRef, message: object) -> None:
    if ref.is_alive():
        ref.tell(message)
