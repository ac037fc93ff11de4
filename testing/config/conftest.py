"""Fixtures of the configuration tests."""

from __future__ import annotations

import heapq
import pathlib
import random

import pytest

from jasminetally._config import config_codec
from jasminetally._config import manifest_file
from jasminetally._config import peer_effects
from jasminetally._config import peer_events
from jasminetally._config import platform_effects
from jasminetally._config import platform_events
from jasminetally._config import revision_tracker
from jasminetally._config import stored_config
from jasminetally._config import tracker_policy

LINK_S = 0.005
PROBE_S = 1.0
EXAMPLE = (
    pathlib.Path(__file__).parents[2] / "docs" / "examples" / "manifest.yaml"
)


@pytest.fixture(scope="session")
def manifest():
    return manifest_file.load_manifest(str(EXAMPLE))


@pytest.fixture(scope="session")
def encoded(manifest):
    """Return a function from a revision to a stored configuration."""

    def encode(revision):
        made = manifest._replace(revision=revision, based_on=revision - 1)
        return config_codec.encode(
            stored_config.StoredConfig(
                1, revision, f"op-{revision}", "ana@build", 0.0, made
            )
        )

    return encode


@pytest.fixture(scope="session")
def fleet_class():
    return FakeFleet


class FakeFleet:
    """Fleet of revision trackers in virtual time.

    Carries out the effects of each tracker on a fake platform and on the
    other trackers, with delays, cut links and watches that never return.
    """

    def __init__(self, *, names, seed, make=revision_tracker.RevisionTracker):
        self.rng = random.Random(seed)
        self.now_s = 0.0
        self.names = list(names)
        self.make = make
        self.values = [(0, None)]  # (version, value), latest last
        self.stale_reads = 0  # versions by which a platform read lags
        self.cut = set()  # names that can't reach the platform
        self.silent = set()  # names whose open watch never returns
        self.links = None  # set of frozensets that work; None: all
        self.trackers = {}
        self.generation = dict.fromkeys(self.names, 0)
        self.statuses = {}  # platform's router/ objects: name -> revision
        self.history = {name: [] for name in self.names}  # (time, revision)
        self.waiting = {}  # name -> watch
        self.queue = []
        self.order = 0

    def start(self, name):
        """Start a router, or replace it by a new incarnation."""
        self.generation[name] += 1
        self.waiting.pop(name, None)
        self.trackers[name] = self.make(
            policy=tracker_policy.TrackerPolicy(), rng=self.rng
        )
        others = tuple(other for other in self.names if other != name)
        floor = max(self.statuses.values(), default=0)
        self._feed(name, platform_events.StatusRegistered(floor, others))
        self._at(self.rng.uniform(0, 0.2), name, self._tick)
        self._at(self.rng.uniform(0, PROBE_S), name, self._probe)

    def apply(self, revision, value):
        """Record a configuration and end the watches that work."""
        self.values.append((revision, value))
        for name, effect in list(self.waiting.items()):
            if name not in self.cut and name not in self.silent:
                del self.waiting[name]
                self._at(LINK_S, name, self._answer_watch, effect)

    def run(self, duration_s):
        """Advance the virtual time."""
        end_s = self.now_s + duration_s
        while self.queue and self.queue[0][0] <= end_s:
            self.now_s, _, name, generation, action, args = heapq.heappop(
                self.queue
            )
            if generation == self.generation[name]:
                action(name, *args)
        self.now_s = end_s

    def connected(self, one, other):
        """Return whether a link works."""
        return self.links is None or frozenset((one, other)) in self.links

    def _at(self, delay_s, name, action, *args):
        self.order += 1
        entry = (name, self.generation[name], action, args)
        heapq.heappush(self.queue, (self.now_s + delay_s, self.order, *entry))

    def _feed(self, name, event):
        self._do(name, self.trackers[name].handle(event, self.now_s))

    def _tick(self, name):
        self._do(name, self.trackers[name].tick(self.now_s))
        self._at(0.2, name, self._tick)

    def _probe(self, name):
        for other in self.rng.sample(self.names, 2):
            if other != name:
                self._exchange(name, other)
        self._at(PROBE_S, name, self._probe)

    def _do(self, name, effects):
        tracker = self.trackers[name]
        for effect in effects:
            match effect:
                case platform_effects.WatchConfig(delay_s=delay_s):
                    self.waiting.pop(name, None)
                    self._at(LINK_S + delay_s, name, self._watch, effect)
                case platform_effects.PutConfigInForce(stored, _):
                    self.history[name].append((self.now_s, stored.revision))
                    if name not in self.cut:
                        self.statuses[name] = stored.revision
                case platform_effects.StartServing(revision):
                    assert revision == tracker.revision
                case peer_effects.ExchangeRevision(peer):
                    self._exchange(name, peer)
                case peer_effects.FetchConfig(peer, _):
                    self._at(LINK_S, name, self._fetch, peer)

    def _watch(self, name, effect):
        if name in self.cut:
            failed = platform_events.WatchFailed(effect.attempt)
            self._at(0.0, name, self._feed, failed)
        elif self._latest()[0] > effect.after_version or (
            effect.after_version == 0
        ):
            self._at(LINK_S, name, self._answer_watch, effect)
        else:
            self.waiting[name] = effect
            self._at(effect.timeout_s, name, self._end_watch, effect)

    def _end_watch(self, name, effect):
        if self.waiting.get(name) is effect and name not in self.silent:
            del self.waiting[name]
            seen = platform_events.WatchReturned(effect.attempt, None, 0)
            self._feed(name, seen)

    def _answer_watch(self, name, effect):
        version, value = self._latest()
        if version <= effect.after_version:
            version, value = 0, None
        self._feed(
            name, platform_events.WatchReturned(effect.attempt, value, version)
        )

    def _latest(self):
        return self.values[max(0, len(self.values) - 1 - self.stale_reads)]

    def _exchange(self, name, peer):
        if not self.connected(name, peer) or peer not in self.trackers:
            self._at(LINK_S, name, self._feed, peer_events.PeerFailed(peer))
            return
        self._at(LINK_S, peer, self._hear, name, self._news(name))
        self._at(LINK_S, name, self._reply, peer)

    def _reply(self, name, peer):
        self._at(LINK_S, name, self._hear, peer, self._news(peer))

    def _hear(self, name, _, news):
        self._feed(name, news)

    def _news(self, name):
        tracker = self.trackers[name]
        return peer_events.PeerRevision(
            name, tracker.revision, tracker.confirmed_age_s(self.now_s)
        )

    def _fetch(self, name, peer):
        value = self.trackers[peer].value
        failed = not self.connected(name, peer) or value is None
        event = (
            peer_events.PeerFailed(peer)
            if failed
            else peer_events.ConfigFetched(peer, value)
        )
        self._at(LINK_S, name, self._feed, event)
