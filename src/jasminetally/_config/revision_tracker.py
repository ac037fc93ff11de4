"""Tracking of the configuration in force at one router."""

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
    """Decides which configuration is in force; never returns to an older one.

    A configuration arrives by a watch of the platform, or by a fetch from a
    peer whose messages name a higher revision. Both paths end in one
    comparison of revisions, so order, loss and repetition do no harm.

    Attributes:
        serving: Whether the router may serve. It stays true through a
            partition: the router goes on with the tiers, events and budgets
            of the revision it has.
    """

    def __init__(
        self, *, policy: tracker_policy.TrackerPolicy, rng: random.Random
    ) -> None:
        self.serving = False
        self._policy = policy
        self._rng = rng
        self._stored: stored_config.StoredConfig | None = None
        self._value: bytes | None = None
        self._version = 0
        self._platform_revision = 0
        self._attempt = 0
        self._attempt_ends_s = 0.0
        self._confirmed_s: float | None = None
        self._registered_s: float | None = None
        # Highest revision heard of. A starting router serves nothing below.
        self._floor = 0
        self._asked: set[str] = set()
        self._peers: dict[str, int] = {}
        self._fetch: tuple[str, float] | None = None

    @property
    def revision(self) -> int:
        """Revision in force; 0 before the first."""
        return self._stored.revision if self._stored else 0

    @property
    def stored(self) -> stored_config.StoredConfig | None:
        """Configuration in force, or None before the first."""
        return self._stored

    @property
    def value(self) -> bytes | None:
        """Encoded configuration in force, for peers that fetch it."""
        return self._value

    def confirmed_age_s(self, now_s: float) -> float:
        """Return the seconds since the revision was known to be the latest.

        Returns:
            Seconds; infinity if that was never known, or if a peer has named
            a higher revision.
        """
        if self._confirmed_s is None or self._floor > self.revision:
            return float("inf")
        return max(0.0, now_s - self._confirmed_s)

    def handle(self, event: Event, now_s: float) -> list[Effect]:
        """Take an event and return what has to be done."""
        effects: list[Effect] = []
        match event:
            case platform_events.WatchReturned():
                effects += self._on_seen(event, now_s)
            case platform_events.WatchFailed(attempt, retry_after_s):
                effects += self._on_failed(attempt, retry_after_s, now_s)
            case platform_events.StatusRegistered(revision, peers):
                effects += self._on_registered(revision, peers, now_s)
            case peer_events.PeerRevision():
                effects += self._on_peer_revision(event, now_s)
            case peer_events.ConfigFetched(peer, value):
                effects += self._on_fetched(peer, value, now_s)
            case peer_events.PeerFailed(peer):
                self._asked.discard(peer)
                self._peers.pop(peer, None)
                effects += self._fetch_again(peer, now_s)
        return [*effects, *self._start_if_ready(now_s)]

    def tick(self, now_s: float) -> list[Effect]:
        """Replace lost watches and fetches; call every 0.1 s to 0.5 s."""
        effects: list[Effect] = []
        if self._registered_s is not None and now_s >= self._attempt_ends_s:
            effects.append(self._watch(now_s))
        if self._fetch is not None and now_s >= self._fetch[1]:
            effects += self._fetch_again(self._fetch[0], now_s)
        return [*effects, *self._start_if_ready(now_s)]

    def _on_registered(
        self, revision: int, peers: tuple[str, ...], now_s: float
    ) -> Iterator[Effect]:
        self._floor = max(self._floor, revision)
        self._registered_s = now_s
        asked = self._rng.sample(
            peers, min(len(peers), self._policy.startup_peer_count)
        )
        self._asked = set(asked)
        self._peers.update(dict.fromkeys(peers, 0) | self._peers)
        for peer in asked:
            yield peer_effects.ExchangeRevision(peer)
        yield self._watch(now_s)

    def _on_seen(
        self, event: platform_events.WatchReturned, now_s: float
    ) -> Iterator[Effect]:
        if event.value is not None:
            self._version = max(self._version, event.version)
            yield from self._take(event.value, from_platform=True)
        if event.attempt != self._attempt:
            # A call that counted as lost; only its content was of use.
            return
        if self._is_confirmed_by(event):
            self._confirmed_s = now_s
            yield self._watch(now_s)
            return
        yield self._watch(now_s, delay_s=self._pause_s())

    def _is_confirmed_by(self, event: platform_events.WatchReturned) -> bool:
        """Return whether a result says that the revision is the latest.

        A result that lacks a revision known from elsewhere is stale. Without
        a change it says something only about a revision that the platform
        itself has shown before.
        """
        if self._stored is None or self.revision < self._floor:
            return False
        if event.value is None:
            return self._platform_revision == self.revision
        return event.value == self._value

    def _on_failed(
        self, attempt: int, retry_after_s: float, now_s: float
    ) -> Iterator[Effect]:
        if attempt == self._attempt:
            delay_s = max(retry_after_s, self._pause_s())
            yield self._watch(now_s, delay_s=delay_s)

    def _on_peer_revision(
        self, event: peer_events.PeerRevision, now_s: float
    ) -> Iterator[Effect]:
        self._asked.discard(event.peer)
        self._peers[event.peer] = max(
            event.revision, self._peers.get(event.peer, 0)
        )
        self._floor = max(self._floor, event.revision)
        if event.revision > self.revision:
            if self._fetch is None:
                yield self._fetch_from(event.peer, now_s)
        elif event.revision == self.revision:
            self._confirm_by(event, now_s)

    def _confirm_by(
        self, event: peer_events.PeerRevision, now_s: float
    ) -> None:
        if self._stored is None or self.revision < self._floor:
            return
        if event.confirmed_age_s <= self._policy.max_confirmation_age_s:
            confirmed_s = now_s - event.confirmed_age_s
            self._confirmed_s = max(
                confirmed_s, self._confirmed_s or confirmed_s
            )

    def _on_fetched(
        self, peer: str, value: bytes, now_s: float
    ) -> Iterator[Effect]:
        if self._fetch is not None and self._fetch[0] == peer:
            self._fetch = None
        yield from self._take(value)
        if self._floor > self.revision:
            yield from self._fetch_again(peer, now_s)
        elif not self.serving:
            # Asks the peer once more, for the age of its confirmation.
            yield peer_effects.ExchangeRevision(peer)

    def _take(
        self, value: bytes, *, from_platform: bool = False
    ) -> Iterator[Effect]:
        try:
            stored = config_codec.decode(value)
        except _errors.SettingsError:
            # Written by another version of this package; the revision in
            # force stays, and the status shows that this router lacks it.
            return
        if from_platform:
            self._platform_revision = max(
                self._platform_revision, stored.revision
            )
        if stored.revision <= self.revision:
            return
        self._stored = stored
        self._value = value
        # What was confirmed was the earlier revision.
        self._confirmed_s = None
        self._floor = max(self._floor, stored.revision)
        if self._fetch is not None and stored.revision >= self._floor:
            self._fetch = None
        yield platform_effects.PutConfigInForce(stored, value)
        behind = [
            peer
            for peer, revision in sorted(self._peers.items())
            if revision < stored.revision
        ]
        count = min(len(behind), self._policy.announce_peer_count)
        for peer in self._rng.sample(behind, count):
            yield peer_effects.ExchangeRevision(peer)

    def _fetch_from(self, peer: str, now_s: float) -> Effect:
        self._fetch = (peer, now_s + self._policy.fetch_timeout_s)
        return peer_effects.FetchConfig(peer, self._peers[peer])

    def _fetch_again(self, failed: str, now_s: float) -> Iterator[Effect]:
        if self._fetch is not None and self._fetch[0] != failed:
            return
        self._fetch = None
        holders = [
            peer
            for peer, revision in sorted(self._peers.items())
            if revision > self.revision
        ]
        others = [peer for peer in holders if peer != failed]
        if holders:
            peer = self._rng.choice(others or holders)
            yield self._fetch_from(peer, now_s)

    def _start_if_ready(self, now_s: float) -> Iterator[Effect]:
        if self.serving or self._registered_s is None:
            return
        waited_s = now_s - self._registered_s
        if self._asked and waited_s < self._policy.startup_peers_timeout_s:
            return
        if self.confirmed_age_s(now_s) > self._policy.max_confirmation_age_s:
            return
        self.serving = True
        yield platform_effects.StartServing(self.revision)

    def _watch(self, now_s: float, *, delay_s: float = 0.0) -> Effect:
        self._attempt += 1
        self._attempt_ends_s = (
            now_s
            + delay_s
            + self._policy.watch_timeout_s
            + self._policy.watch_margin_s
        )
        return platform_effects.WatchConfig(
            self._attempt, self._version, self._policy.watch_timeout_s, delay_s
        )

    def _pause_s(self) -> float:
        return self._policy.retry_delay_s * (1.0 + self._rng.random())
