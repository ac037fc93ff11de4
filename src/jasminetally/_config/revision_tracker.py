"""Tracks the latest configuration and puts it in force at one router."""

from __future__ import annotations

from collections.abc import Iterator
import random

from jasminetally import _errors
from jasminetally._config import config_codec
from jasminetally._config import peer_effects
from jasminetally._config import peer_events
from jasminetally._config import platform_effects
from jasminetally._config import platform_events
from jasminetally._config import stored_config
from jasminetally._config import tracker_policy

Event = (
    platform_events.WatchReturned
    | platform_events.WatchFailed
    | platform_events.StatusRegistered
    | peer_events.PeerRevision
    | peer_events.ConfigFetched
    | peer_events.PeerFailed
)
Effect = (
    platform_effects.WatchConfig
    | platform_effects.PutConfigInForce
    | platform_effects.StartServing
    | peer_effects.ExchangeRevision
    | peer_effects.FetchConfig
)


class RevisionTracker:
    """State machine that puts configurations in force, never an older one.

    A configuration arrives by a watch of the platform, or by a fetch from a
    peer whose messages report a higher revision. In both cases it is put in
    force only if its revision is higher than the current one. Messages may
    therefore be lost, repeated or arrive in any order.

    The revision counts as confirmed at the time when the platform, or a peer
    that had it confirmed, last showed that it is the latest. A starting router
    serves only after a recent confirmation.

    Attributes:
        serving: Whether the router may serve requests. It stays true during a
            partition: the router continues with the tiers, events and budgets
            of the revision that it has.
    """

    def __init__(
        self, *, policy: tracker_policy.TrackerPolicy, rng: random.Random
    ) -> None:
        """Create a tracker without a configuration.

        Args:
            policy: Times and counts.
            rng: Source of randomness for delays and the choice of peers.
        """
        self.serving = False
        self._policy = policy
        self._rng = rng
        self._config: stored_config.StoredConfig | None = None
        self._encoded_config: bytes | None = None
        self._object_version = 0
        self._highest_platform_revision = 0
        self._watch_attempt = 0
        self._watch_deadline_s = 0.0
        self._confirmed_s: float | None = None
        self._registered_s: float | None = None
        # Highest revision known to exist. A starting router doesn't serve
        # until it has this one in force.
        self._highest_known_revision = 0
        self._awaited_peers: set[str] = set()
        self._peer_revisions: dict[str, int] = {}
        # Peer of the fetch in progress and the time at which it is repeated.
        self._pending_fetch: tuple[str, float] | None = None

    @property
    def revision(self) -> int:
        """Revision in force; 0 if there is none yet."""
        return self._config.revision if self._config else 0

    @property
    def config(self) -> stored_config.StoredConfig | None:
        """Configuration in force; None if there is none yet."""
        return self._config

    @property
    def encoded_config(self) -> bytes | None:
        """Encoded configuration in force, for peers that fetch it."""
        return self._encoded_config

    def confirmed_age_s(self, now_s: float) -> float:
        """Return the time since the revision in force was last confirmed.

        Returns:
            Seconds; infinity if the revision was never confirmed, or if a
            higher revision is known to exist.
        """
        if (
            self._confirmed_s is None
            or self._highest_known_revision > self.revision
        ):
            return float("inf")
        return max(0.0, now_s - self._confirmed_s)

    def handle(self, event: Event, now_s: float) -> list[Effect]:
        """Handle an event.

        Args:
            event: Event from the platform or a peer.
            now_s: Monotonic time in seconds.

        Returns:
            Effects to carry out, in this order.
        """
        effects: list[Effect] = []
        match event:
            case platform_events.WatchReturned():
                effects += self._on_watch_returned(event, now_s)
            case platform_events.WatchFailed(attempt, retry_after_s):
                effects += self._on_watch_failed(attempt, retry_after_s, now_s)
            case platform_events.StatusRegistered(revision, peers):
                effects += self._on_status_registered(revision, peers, now_s)
            case peer_events.PeerRevision():
                effects += self._on_peer_revision(event, now_s)
            case peer_events.ConfigFetched(peer, value):
                effects += self._on_config_fetched(peer, value, now_s)
            case peer_events.PeerFailed(peer):
                self._awaited_peers.discard(peer)
                self._peer_revisions.pop(peer, None)
                effects += self._retry_fetch(peer, now_s)
        return [*effects, *self._start_serving_if_ready(now_s)]

    def tick(self, now_s: float) -> list[Effect]:
        """Replace a lost watch or fetch, and start serving if possible.

        Has to be called every 0.1 s to 0.5 s.

        Args:
            now_s: Monotonic time in seconds.

        Returns:
            Effects to carry out, in this order.
        """
        effects: list[Effect] = []
        if self._registered_s is not None and now_s >= self._watch_deadline_s:
            effects.append(self._start_watch(now_s))
        if self._pending_fetch is not None and now_s >= self._pending_fetch[1]:
            effects += self._retry_fetch(self._pending_fetch[0], now_s)
        return [*effects, *self._start_serving_if_ready(now_s)]

    def _on_status_registered(
        self, revision: int, peers: tuple[str, ...], now_s: float
    ) -> Iterator[Effect]:
        self._highest_known_revision = max(
            self._highest_known_revision, revision
        )
        self._registered_s = now_s
        queried_peers = self._rng.sample(
            peers, min(len(peers), self._policy.startup_peer_count)
        )
        self._awaited_peers = set(queried_peers)
        self._peer_revisions.update(
            dict.fromkeys(peers, 0) | self._peer_revisions
        )
        for peer in queried_peers:
            yield peer_effects.ExchangeRevision(peer)
        yield self._start_watch(now_s)

    def _on_watch_returned(
        self, event: platform_events.WatchReturned, now_s: float
    ) -> Iterator[Effect]:
        if event.value is not None:
            self._object_version = max(self._object_version, event.version)
            yield from self._accept_config(event.value, from_platform=True)
        if event.attempt != self._watch_attempt:
            # This watch had been considered lost and was replaced. Its
            # content is used, but it neither confirms nor starts a watch.
            return
        if self._confirms_revision(event):
            self._confirmed_s = now_s
            yield self._start_watch(now_s)
            return
        yield self._start_watch(now_s, delay_s=self._retry_delay_s())

    def _confirms_revision(self, event: platform_events.WatchReturned) -> bool:
        """Return whether a watch shows that the revision is the latest.

        If a higher revision is known to exist, the result is stale. A watch
        that ended without a change confirms the revision only if the platform
        itself has returned this revision before.
        """
        if self._config is None or self.revision < self._highest_known_revision:
            return False
        if event.value is None:
            return self._highest_platform_revision == self.revision
        return event.value == self._encoded_config

    def _on_watch_failed(
        self, attempt: int, retry_after_s: float, now_s: float
    ) -> Iterator[Effect]:
        if attempt == self._watch_attempt:
            delay_s = max(retry_after_s, self._retry_delay_s())
            yield self._start_watch(now_s, delay_s=delay_s)

    def _on_peer_revision(
        self, event: peer_events.PeerRevision, now_s: float
    ) -> Iterator[Effect]:
        self._awaited_peers.discard(event.peer)
        self._peer_revisions[event.peer] = max(
            event.revision, self._peer_revisions.get(event.peer, 0)
        )
        self._highest_known_revision = max(
            self._highest_known_revision, event.revision
        )
        if event.revision > self.revision:
            if self._pending_fetch is None:
                yield self._start_fetch(event.peer, now_s)
        elif event.revision == self.revision:
            self._confirm_from_peer(event, now_s)

    def _confirm_from_peer(
        self, event: peer_events.PeerRevision, now_s: float
    ) -> None:
        if self._config is None or self.revision < self._highest_known_revision:
            return
        if event.confirmed_age_s <= self._policy.max_confirmation_age_s:
            confirmed_s = now_s - event.confirmed_age_s
            self._confirmed_s = max(
                confirmed_s, self._confirmed_s or confirmed_s
            )

    def _on_config_fetched(
        self, peer: str, value: bytes, now_s: float
    ) -> Iterator[Effect]:
        if self._pending_fetch is not None and self._pending_fetch[0] == peer:
            self._pending_fetch = None
        yield from self._accept_config(value)
        if self._highest_known_revision > self.revision:
            yield from self._retry_fetch(peer, now_s)
        elif not self.serving:
            # Ask the peer again: its reply carries the age of its
            # confirmation, which a starting router needs.
            yield peer_effects.ExchangeRevision(peer)

    def _accept_config(
        self, value: bytes, *, from_platform: bool = False
    ) -> Iterator[Effect]:
        """Put an encoded configuration in force if its revision is higher."""
        try:
            stored = config_codec.decode(value)
        except _errors.SettingsError:
            # Encoded by another version of jasminetally. The revision in force
            # stays, and the router's status keeps reporting it, so that
            # ``apply`` names this router as not confirmed.
            return
        if from_platform:
            self._highest_platform_revision = max(
                self._highest_platform_revision, stored.revision
            )
        if stored.revision <= self.revision:
            return
        self._config = stored
        self._encoded_config = value
        # The confirmation applied to the previous revision.
        self._confirmed_s = None
        self._highest_known_revision = max(
            self._highest_known_revision, stored.revision
        )
        if (
            self._pending_fetch is not None
            and stored.revision >= self._highest_known_revision
        ):
            self._pending_fetch = None
        yield platform_effects.PutConfigInForce(stored, value)
        outdated_peers = [
            peer
            for peer, revision in sorted(self._peer_revisions.items())
            if revision < stored.revision
        ]
        count = min(len(outdated_peers), self._policy.announce_peer_count)
        for peer in self._rng.sample(outdated_peers, count):
            yield peer_effects.ExchangeRevision(peer)

    def _start_fetch(self, peer: str, now_s: float) -> Effect:
        self._pending_fetch = (peer, now_s + self._policy.fetch_timeout_s)
        return peer_effects.FetchConfig(peer, self._peer_revisions[peer])

    def _retry_fetch(self, failed_peer: str, now_s: float) -> Iterator[Effect]:
        if (
            self._pending_fetch is not None
            and self._pending_fetch[0] != failed_peer
        ):
            return
        self._pending_fetch = None
        holders = [
            peer
            for peer, revision in sorted(self._peer_revisions.items())
            if revision > self.revision
        ]
        other_holders = [peer for peer in holders if peer != failed_peer]
        if holders:
            peer = self._rng.choice(other_holders or holders)
            yield self._start_fetch(peer, now_s)

    def _start_serving_if_ready(self, now_s: float) -> Iterator[Effect]:
        if self.serving or self._registered_s is None:
            return
        waited_s = now_s - self._registered_s
        if (
            self._awaited_peers
            and waited_s < self._policy.startup_peers_timeout_s
        ):
            return
        if self.confirmed_age_s(now_s) > self._policy.max_confirmation_age_s:
            return
        self.serving = True
        yield platform_effects.StartServing(self.revision)

    def _start_watch(self, now_s: float, *, delay_s: float = 0.0) -> Effect:
        self._watch_attempt += 1
        self._watch_deadline_s = (
            now_s
            + delay_s
            + self._policy.watch_timeout_s
            + self._policy.watch_margin_s
        )
        return platform_effects.WatchConfig(
            self._watch_attempt,
            self._object_version,
            self._policy.watch_timeout_s,
            delay_s,
        )

    def _retry_delay_s(self) -> float:
        return self._policy.retry_delay_s * (1.0 + self._rng.random())
