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
from jasminetally._router import control_news
from jasminetally._router import news_codec

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
    from jasminetally._router import fleet
    from jasminetally._router import peer_caller
    from jasminetally._router import router_hooks
    from jasminetally._wire.gen.peer import ttypes

PROBE_TIMEOUT_S = 0.5
FETCH_TIMEOUT_S = 0.5


class ControlIo:
    """Carry out effects of the control actor.

    Args:
        platform: Platform.
        watches: Platform client whose connections are used for watches only.
        peers: Messages to the other routers.
        known: Shared state, written only through this object.
        hooks: Parts of the router that follow configuration and drain.
        pool: Worker threads.
        watch_pool: Worker thread for watches, which wait for seconds.
    """

    def __init__(
        self,
        *,
        platform: port.PlatformPort,
        watches: port.PlatformPort,
        peers: peer_caller.PeerCaller,
        known: fleet.Fleet,
        hooks: router_hooks.RouterHooks,
        pool: concurrent.futures.Executor,
        watch_pool: concurrent.futures.Executor,
    ) -> None:
        self._platform = platform
        self._watches = watches
        self._peers = peers
        self._fleet = known
        self._hooks = hooks
        self._pool = pool
        self._watch_pool = watch_pool
        self._ready: set[str] = set()
        self._peer_names: tuple[str, ...] | None = None
        self._acknowledged: tuple | None = None

    def watch_config(
        self, ref: pykka.ActorRef, effect: platform_effects.WatchConfig
    ) -> None:
        """Watch the configuration."""
        self._watch_pool.submit(self._watch, ref, effect)

    def probe(self, ref: pykka.ActorRef, peer: str) -> None:
        """Probe a peer."""
        self._pool.submit(self._probe, ref, peer)

    def fetch_config(
        self, ref: pykka.ActorRef, effect: peer_effects.FetchConfig
    ) -> None:
        """Fetch the configuration from a peer."""
        self._pool.submit(self._fetch, ref, effect)

    def read_members(self, ref: pykka.ActorRef) -> None:
        """Read the platform's list and the status objects."""
        self._pool.submit(self._read_members, ref)

    def put_in_force(
        self, stored: stored_config.StoredConfig, value: bytes
    ) -> None:
        """Put a configuration in force."""
        self._hooks.put_in_force(stored, value)

    def publish_state(
        self, state: router_state.RouterState, *, ready: bool
    ) -> None:
        """Change the readiness and the status object."""
        self._hooks.publish_state(state, ready=ready)

    def publish_news(self, news: list[ttypes.NewsItem]) -> None:
        """Set what replies to probes contain."""
        self._fleet.news = news

    def publish_view(
        self, view: instance_view.InstanceView, reachable: tuple[str, ...]
    ) -> None:
        """Update the shared state from the instance view."""
        routers = view.routers()
        names = tuple(sorted(routers))
        self._fleet.peers = {
            status.incarnation: status for status in routers.values()
        }
        self._fleet.addresses = view.addresses()
        self._fleet.deaths = frozenset(view.deaths)
        acknowledged = tuple(
            (status.incarnation, status.deaths) for status in routers.values()
        )
        if (acknowledged, view.deaths) != self._acknowledged:
            self._acknowledged = (acknowledged, view.deaths)
            self._hooks.routers_seen(self._fleet.deaths)
        if reachable != self._fleet.reachable:
            self._fleet.reachable = reachable
            self._hooks.peers_changed(reachable)
        ready = {
            name
            for name, status in routers.items()
            if status.state is router_state.RouterState.READY
        }
        if view.own_state is router_state.RouterState.READY:
            ready.add(self._fleet.instance)
        if ready != self._ready:
            self._ready = ready
            self._hooks.ready_changed(frozenset(ready))
        if names != self._peer_names:
            self._peer_names = names
            self._hooks.fleet_size_changed()

    def acknowledge(self, incarnation: str, deaths: tuple[str, ...]) -> None:
        """Publish an acknowledged death."""
        self._hooks.peer_died(incarnation, deaths)

    def server_leaving(self, server: str) -> None:
        """Send no new work to a backend server."""
        self._hooks.server_leaving(server)

    def superseded(self, reason: str) -> None:
        """Stop this process at once."""
        self._hooks.superseded(reason)

    def remaining(self) -> drain_events.RemainingWork | None:
        """Return what a draining router still holds; None before."""
        if not self._fleet.draining.is_set():
            return None
        return self._hooks.remaining()

    def perform(self, step: drain_effects.DrainStep) -> None:
        """Carry out a step of the drain."""
        self._hooks.perform(step)

    def exit(self, code: int) -> None:
        """End the process."""
        self._hooks.exit(code)

    def _watch(
        self, ref: pykka.ActorRef, effect: platform_effects.WatchConfig
    ) -> None:
        time.sleep(effect.delay_s)
        try:
            event = self._see(effect)
        except _errors.PlatformError as exc:
            retry_s = getattr(exc, "retry_after_s", 0.0)
            logger.debug("config: watch failed: {}", exc)
            event = platform_events.WatchFailed(effect.attempt, retry_s)
        _tell(ref, event)

    def _see(
        self, effect: platform_effects.WatchConfig
    ) -> platform_events.WatchReturned:
        key = config_codec.CONFIG_KEY
        if not effect.after_version:
            try:
                found = self._watches.get(key)
            except _errors.NotFoundError:
                time.sleep(FETCH_TIMEOUT_S)
                return platform_events.WatchReturned(effect.attempt, None, 0)
            return platform_events.WatchReturned(
                effect.attempt, found.value, found.version
            )
        changes = self._watches.watch(
            key,
            after_version=effect.after_version,
            timeout_s=effect.timeout_s,
        )
        for found in changes.entries:
            if found.key == key and found.value is not None:
                return platform_events.WatchReturned(
                    effect.attempt, found.value, found.version
                )
        return platform_events.WatchReturned(effect.attempt, None, 0)

    def _probe(self, ref: pykka.ActorRef, peer: str) -> None:
        sender = self._peers.sender()
        news = self._fleet.news
        try:
            reply = self._peers.call(
                peer,
                lambda client: client.probe(sender, news),
                timeout_s=PROBE_TIMEOUT_S,
            )
        except _errors.PeerUnreachableError as exc:
            logger.debug("membership: probe failed: {}", exc)
            _tell(ref, peer_events.PeerFailed(peer))
            return
        _tell(ref, peer_message(reply.sender, reply.news))

    def _fetch(
        self, ref: pykka.ActorRef, effect: peer_effects.FetchConfig
    ) -> None:
        sender = self._peers.sender()
        try:
            reply = self._peers.call(
                effect.peer,
                lambda client: client.fetch_config(
                    sender, effect.minimum_revision
                ),
                timeout_s=FETCH_TIMEOUT_S,
            )
        except _errors.PeerUnreachableError as exc:
            logger.debug("config: fetch failed: {}", exc)
            _tell(ref, peer_events.PeerFailed(effect.peer))
            return
        _tell(ref, peer_events.ConfigFetched(effect.peer, reply.value))

    def _read_members(self, ref: pykka.ActorRef) -> None:
        try:
            listed = self._platform.list(status_codec.INSTANCE_LIST_PREFIX)
            _tell(
                ref,
                list_events.ListRead(
                    _decoded(
                        listed.entries, status_codec.decode_listed_instance
                    )
                ),
            )
            statuses = self._platform.list(status_codec.STATUS_PREFIX)
        except _errors.PlatformError as exc:
            logger.debug("membership: read failed: {}", exc)
            return
        _tell(
            ref,
            status_events.StatusesRead(
                _decoded(statuses.entries, status_codec.decode_status)
            ),
        )


def peer_message(
    sender: ttypes.Sender, news: list[ttypes.NewsItem]
) -> control_news.PeerMessage:
    """Return the control actor's view of a peer's message."""
    return control_news.PeerMessage(
        sender.incarnation,
        sender.revision,
        news_codec.state_of(news),
        tuple(news_codec.evidence_in(news)),
    )


def _decoded(found: list, decode: Callable) -> tuple:
    """Decode objects; one that can't be read must not hide the others."""
    decoded = []
    for item in found:
        try:
            decoded.append(decode(item))
        except _errors.PlatformError as exc:
            logger.warning("membership: {}", exc)
    return tuple(decoded)


def _tell(ref: pykka.ActorRef, message: object) -> None:
    if ref.is_alive():
        ref.tell(message)
