"""Actor for configuration, membership and drain of a router."""

from __future__ import annotations

import math
import time
from typing import TYPE_CHECKING
from typing import Any

from loguru import logger
import pykka

from jasminetally._config import peer_effects
from jasminetally._config import peer_events
from jasminetally._config import platform_effects
from jasminetally._config import platform_events
from jasminetally._config import revision_tracker
from jasminetally._config import tracker_policy
from jasminetally._membership import death_effects
from jasminetally._membership import drain_effects
from jasminetally._membership import drain_events
from jasminetally._membership import drain_state
from jasminetally._membership import incarnation as incarnations
from jasminetally._membership import instance_view
from jasminetally._membership import probe_events
from jasminetally._membership import view_effects
from jasminetally._membership import view_policy
from jasminetally._router import control_messages
from jasminetally._router import gossip_codec

if TYPE_CHECKING:
    import random

    from jasminetally._membership import router_status
    from jasminetally._router import control_io

DRAIN_CHECK_INTERVAL_S = 0.2
# Shortest time between reads of the status objects caused by messages of
# unknown routers.
MIN_MEMBER_READ_INTERVAL_S = 0.5


class ControlActor(pykka.ThreadingActor):
    """Run the revision tracker, the instance view and the drain state.

    Messages are ``ControlTick``, ``PeerMessage`` and the events of the three
    state machines. Effects are executed by ``io``.

    Args:
        own: Status of this router, with its incarnation.
        rng: Source of randomness.
        io: Executes effects outside of this thread.
    """

    use_daemon_thread = True

    def __init__(
        self,
        *,
        own: router_status.RouterStatus,
        rng: random.Random,
        io: control_io.ControlIo,
    ) -> None:
        super().__init__()
        self._tracker = revision_tracker.RevisionTracker(
            policy=tracker_policy.TrackerPolicy(), rng=rng
        )
        self._view = instance_view.InstanceView(
            own=own, policy=view_policy.ViewPolicy(), rng=rng
        )
        self._drain = drain_state.DrainState()
        self._io = io
        self._own = own
        self._peer_responded: dict[str, bool] = {}
        self._next_drain_check_s = 0.0
        self._next_member_read_s = 0.0

    def on_receive(self, message: Any) -> Any:
        """Handle one message."""
        now_s = time.monotonic()
        match message:
            case control_messages.ControlTick():
                self._on_tick(now_s)
            case control_messages.PeerMessage():
                self._on_peer_message(message, now_s)
            case (
                platform_events.WatchReturned()
                | platform_events.WatchFailed()
                | platform_events.StatusRegistered()
                | peer_events.ConfigFetched()
            ):
                self._handle_tracker_event(message, now_s)
            case peer_events.PeerFailed(peer):
                self._handle_tracker_event(message, now_s)
                self._on_peer_failed(peer, now_s)
            case (
                drain_events.TerminationRequested()
                | drain_events.RemainingWork()
            ):
                self._advance_drain(message, now_s)
            case _:
                self._run_view(self._view.handle(message, now_s))
        self._io.publish_view(self._view, self._reachable_peers())
        return None

    def _on_tick(self, now_s: float) -> None:
        self._run_tracker(self._tracker.tick(now_s), now_s)
        self._run_view(self._view.tick(now_s))
        self._publish_gossip(now_s)
        if now_s >= self._next_drain_check_s:
            self._next_drain_check_s = now_s + DRAIN_CHECK_INTERVAL_S
            remaining = self._io.remaining_work()
            if remaining is not None:
                self._advance_drain(remaining, now_s)

    def _on_peer_message(
        self, message: control_messages.PeerMessage, now_s: float
    ) -> None:
        peer = incarnations.instance_of(message.incarnation)
        if message.incarnation not in self._known_incarnations():
            self._read_members_for_new_peer(now_s)
        age_s = math.inf
        if message.state is not None:
            if message.state.confirmed_age_s >= 0:
                age_s = message.state.confirmed_age_s
            self._peer_responded[message.incarnation] = True
            received = probe_events.PeerMessageReceived(
                message.incarnation, message.state.state
            )
            self._run_view(self._view.handle(received, now_s))
        self._handle_tracker_event(
            peer_events.PeerRevision(peer, message.revision, age_s), now_s
        )
        for evidence in message.observed_evidence:
            report = probe_events.EvidenceReceived(peer, evidence)
            self._run_view(self._view.handle(report, now_s))

    def _known_incarnations(self) -> set[str]:
        routers = self._view.routers().values()
        return {status.incarnation for status in routers}

    def _read_members_for_new_peer(self, now_s: float) -> None:
        """Read the status objects, since an unknown router sent a message."""
        if now_s >= self._next_member_read_s:
            self._next_member_read_s = now_s + MIN_MEMBER_READ_INTERVAL_S
            self._io.read_members(self.actor_ref)

    def _on_peer_failed(self, peer: str, now_s: float) -> None:
        status = self._view.routers().get(peer)
        if status is not None:
            self._peer_responded[status.incarnation] = False
        effects = self._view.handle(probe_events.ProbeFailed(peer), now_s)
        self._run_view(effects)

    def _handle_tracker_event(
        self, event: revision_tracker.Event, now_s: float
    ) -> None:
        self._run_tracker(self._tracker.handle(event, now_s), now_s)

    def _run_tracker(
        self, effects: list[revision_tracker.Effect], now_s: float
    ) -> None:
        for effect in effects:
            match effect:
                case platform_effects.WatchConfig():
                    self._io.watch_config(self.actor_ref, effect)
                case platform_effects.PutConfigInForce(stored, value):
                    logger.info("config: revision {} in force", stored.revision)
                    self._io.put_in_force(stored, value)
                    self._publish_gossip(now_s)
                case platform_effects.StartServing():
                    self._advance_drain(drain_events.BecameReady(), now_s)
                case peer_effects.ExchangeRevision(peer):
                    self._io.probe_peer(self.actor_ref, peer)
                case peer_effects.FetchConfig():
                    self._io.fetch_config(self.actor_ref, effect)

    def _run_view(self, effects: list[Any]) -> None:
        for effect in effects:
            match effect:
                case view_effects.ReadMembers():
                    self._io.read_members(self.actor_ref)
                case view_effects.ProbePeer(instance):
                    self._io.probe_peer(self.actor_ref, instance)
                case death_effects.AcknowledgeDeath(incarnation, evidence):
                    logger.warning(
                        "membership: router {} is confirmed dead: {}",
                        incarnation,
                        evidence,
                    )
                    self._peer_responded.pop(incarnation, None)
                    self._io.acknowledge_death(incarnation, self._view.deaths)
                case death_effects.StopSuperseded(reason):
                    logger.error(
                        "membership: stopping, another process runs this "
                        "instance: {}",
                        reason,
                    )
                    self._io.stop_superseded(reason)
                case death_effects.InstanceLeaving(instance, listed):
                    self._on_instance_leaving(instance, listed=listed)

    def _on_instance_leaving(self, instance: str, *, listed: bool) -> None:
        if instance != self._own.instance:
            self._io.drain_server(instance)
            return
        if listed:
            logger.info(
                "membership: the platform lists this instance as leaving; "
                "draining"
            )
            self.actor_ref.tell(drain_events.TerminationRequested())

    def _advance_drain(self, event: drain_state.Event, now_s: float) -> None:
        for effect in self._drain.handle(event, now_s):
            match effect:
                case drain_effects.PublishState(ready):
                    self._view.own_state = self._drain.state
                    self._publish_gossip(now_s)
                    self._io.publish_state(self._drain.state, ready=ready)
                    for instance in self._view.routers():
                        self._io.probe_peer(self.actor_ref, instance)
                case drain_effects.PerformStep(step):
                    self._io.perform_drain_step(step)
                case drain_effects.ExitProcess(code):
                    self._io.exit_process(code)

    def _publish_gossip(self, now_s: float) -> None:
        age_s = self._tracker.confirmed_age_s(now_s)
        state = gossip_codec.SenderState(
            self._drain.state, -1.0 if math.isinf(age_s) else age_s
        )
        self._io.publish_gossip(
            gossip_codec.encode_items(
                self._own.incarnation, state, self._view.own_evidence()
            )
        )

    def _reachable_peers(self) -> tuple[str, ...]:
        return tuple(
            sorted(
                status.incarnation
                for status in self._view.routers().values()
                if self._peer_responded.get(status.incarnation)
            )
        )
