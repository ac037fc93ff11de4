"""Actor that owns configuration, membership and the drain of a router."""

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
from jasminetally._router import control_news
from jasminetally._router import news_codec

if TYPE_CHECKING:
    import random

    from jasminetally._membership import router_status
    from jasminetally._router import control_io

REMAINING_PERIOD_S = 0.2
# Shortest time between reads because of messages of unknown routers.
READ_LIMIT_S = 0.5


class ControlActor(pykka.ThreadingActor):
    """Run the revision tracker, the instance view and the drain state.

    Messages: ``ControlTick``, ``PeerMessage`` and the events of the three
    decision objects. Effects are executed by ``io``.

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
        self._answered: dict[str, bool] = {}
        self._remaining_at_s = 0.0
        self._read_at_s = 0.0

    def on_receive(self, message: Any) -> Any:
        """Take one message."""
        now_s = time.monotonic()
        match message:
            case control_news.ControlTick():
                self._tick(now_s)
            case control_news.PeerMessage():
                self._on_peer(message, now_s)
            case (
                platform_events.WatchReturned()
                | platform_events.WatchFailed()
                | platform_events.StatusRegistered()
                | peer_events.ConfigFetched()
            ):
                self._track(message, now_s)
            case peer_events.PeerFailed(peer):
                self._track(message, now_s)
                self._on_unanswered(peer, now_s)
            case (
                drain_events.TerminationRequested()
                | drain_events.RemainingWork()
            ):
                self._advance_drain(message, now_s)
            case _:
                self._run_view(self._view.handle(message, now_s))
        self._io.publish_view(self._view, self._reachable())
        return None

    def _tick(self, now_s: float) -> None:
        self._run_tracker(self._tracker.tick(now_s), now_s)
        self._run_view(self._view.tick(now_s))
        self._publish_news(now_s)
        if now_s >= self._remaining_at_s:
            self._remaining_at_s = now_s + REMAINING_PERIOD_S
            remaining = self._io.remaining()
            if remaining is not None:
                self._advance_drain(remaining, now_s)

    def _on_peer(self, message: control_news.PeerMessage, now_s: float) -> None:
        peer = incarnations.instance_of(message.incarnation)
        if message.incarnation not in self._incarnations():
            self._read_soon(now_s)
        age_s = math.inf
        if message.state is not None:
            if message.state.confirmed_age_s >= 0:
                age_s = message.state.confirmed_age_s
            self._answered[message.incarnation] = True
            heard = probe_events.PeerMessageReceived(
                message.incarnation, message.state.state
            )
            self._run_view(self._view.handle(heard, now_s))
        self._track(
            peer_events.PeerRevision(peer, message.revision, age_s), now_s
        )
        for item in message.observed:
            witness = probe_events.EvidenceReceived(peer, item)
            self._run_view(self._view.handle(witness, now_s))

    def _incarnations(self) -> set[str]:
        routers = self._view.routers().values()
        return {status.incarnation for status in routers}

    def _read_soon(self, now_s: float) -> None:
        """Read the status objects: a peer is new here."""
        if now_s >= self._read_at_s:
            self._read_at_s = now_s + READ_LIMIT_S
            self._io.read_members(self.actor_ref)

    def _on_unanswered(self, peer: str, now_s: float) -> None:
        status = self._view.routers().get(peer)
        if status is not None:
            self._answered[status.incarnation] = False
        effects = self._view.handle(probe_events.ProbeFailed(peer), now_s)
        self._run_view(effects)

    def _track(self, event: revision_tracker.Event, now_s: float) -> None:
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
                    self._publish_news(now_s)
                case platform_effects.StartServing():
                    self._advance_drain(drain_events.BecameReady(), now_s)
                case peer_effects.ExchangeRevision(peer):
                    self._io.probe(self.actor_ref, peer)
                case peer_effects.FetchConfig():
                    self._io.fetch_config(self.actor_ref, effect)

    def _run_view(self, effects: list[Any]) -> None:
        for effect in effects:
            match effect:
                case view_effects.ReadMembers():
                    self._io.read_members(self.actor_ref)
                case view_effects.ProbePeer(instance):
                    self._io.probe(self.actor_ref, instance)
                case death_effects.AcknowledgeDeath(incarnation, evidence):
                    logger.warning(
                        "membership: {} is dead: {}", incarnation, evidence
                    )
                    self._answered.pop(incarnation, None)
                    self._io.acknowledge(incarnation, self._view.deaths)
                case death_effects.StopSuperseded(reason):
                    logger.error("membership: stopping: {}", reason)
                    self._io.superseded(reason)
                case death_effects.InstanceLeaving(instance, listed):
                    self._on_leaving(instance, listed=listed)

    def _on_leaving(self, instance: str, *, listed: bool) -> None:
        if instance != self._own.instance:
            self._io.server_leaving(instance)
            return
        if listed:
            logger.info("membership: the platform takes this instance away")
            self.actor_ref.tell(drain_events.TerminationRequested())

    def _advance_drain(self, event: drain_state.Event, now_s: float) -> None:
        for effect in self._drain.handle(event, now_s):
            match effect:
                case drain_effects.PublishState(ready):
                    self._view.own_state = self._drain.state
                    self._publish_news(now_s)
                    self._io.publish_state(self._drain.state, ready=ready)
                    for instance in self._view.routers():
                        self._io.probe(self.actor_ref, instance)
                case drain_effects.PerformStep(step):
                    self._io.perform(step)
                case drain_effects.ExitProcess(code):
                    self._io.exit(code)

    def _publish_news(self, now_s: float) -> None:
        age_s = self._tracker.confirmed_age_s(now_s)
        state = news_codec.StateNews(
            self._drain.state, -1.0 if math.isinf(age_s) else age_s
        )
        self._io.publish_news(
            news_codec.encode(
                self._own.incarnation, state, self._view.own_evidence()
            )
        )

    def _reachable(self) -> tuple[str, ...]:
        return tuple(
            sorted(
                status.incarnation
                for status in self._view.routers().values()
                if self._answered.get(status.incarnation)
            )
        )
