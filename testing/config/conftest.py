"""Fixtures and a simulated fleet for the configuration tests."""

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

LINK_DELAY_S = 0.005
PROBE_PERIOD_S = 1.0
EXAMPLE_MANIFEST = (
    pathlib.Path(__file__).parents[2] / "docs" / "examples" / "manifest.yaml"
)


@pytest.fixture(scope="session")
def manifest():
    return manifest_file.load_manifest(str(EXAMPLE_MANIFEST))


@pytest.fixture(scope="session")
def encode_revision(manifest):
    """Return a function that encodes the example manifest as a revision."""

    def encode(revision):
        renumbered = manifest._replace(revision=revision, based_on=revision - 1)
        return config_codec.encode(
            stored_config.StoredConfig(
                1, revision, f"op-{revision}", "ana@build", 0.0, renumbered
            )
        )

    return encode


@pytest.fixture(scope="session")
def fleet_class():
    return FakeFleet


class FakeFleet:
    """Simulated fleet of revision trackers in virtual time.

    Carries out the effects of each tracker on a fake platform and on the
    other trackers, with delays, cut links, stale platform reads and watches
    that never return.

    Args:
        names: Instances of the routers.
        seed: Seed of all random choices.
        tracker_class: Class of the trackers; tests also pass faulty ones.
    """

    def __init__(
        self, *, names, seed, tracker_class=revision_tracker.RevisionTracker
    ):
        self.rng = random.Random(seed)
        self.now_s = 0.0
        self.names = list(names)
        self.tracker_class = tracker_class
        self.versions = [(0, None)]  # (version, value) of config/current
        self.read_lag_versions = 0  # versions that reads lag behind
        self.cut_from_platform = set()  # routers that can't reach the platform
        self.silent_watches = set()  # routers whose open watch never returns
        self.links = None  # pairs of routers that are connected; None: all
        self.trackers = {}
        self.generation = dict.fromkeys(self.names, 0)
        self.statuses = {}  # router/ objects: name -> revision
        # Name -> (time, revision) of each configuration put in force.
        self.history = {name: [] for name in self.names}
        self.open_watches = {}  # name -> watch
        self.queue = []
        self.sequence = 0

    def start(self, name):
        """Start a router, or replace it with a new incarnation."""
        self.generation[name] += 1
        self.open_watches.pop(name, None)
        self.trackers[name] = self.tracker_class(
            policy=tracker_policy.TrackerPolicy(), rng=self.rng
        )
        peers = tuple(other for other in self.names if other != name)
        highest_revision = max(self.statuses.values(), default=0)
        self._handle_event(
            name, platform_events.StatusRegistered(highest_revision, peers)
        )
        self._schedule(self.rng.uniform(0, 0.2), name, self._tick)
        self._schedule(self.rng.uniform(0, PROBE_PERIOD_S), name, self._probe)

    def record(self, revision, value):
        """Record a configuration; open watches that still work return it."""
        self.versions.append((revision, value))
        for name, effect in list(self.open_watches.items()):
            if (
                name not in self.cut_from_platform
                and name not in self.silent_watches
            ):
                del self.open_watches[name]
                self._schedule(LINK_DELAY_S, name, self._answer_watch, effect)

    def advance(self, duration_s):
        """Advance virtual time and process all events that are due."""
        end_s = self.now_s + duration_s
        while self.queue and self.queue[0][0] <= end_s:
            self.now_s, _, name, generation, action, args = heapq.heappop(
                self.queue
            )
            if generation == self.generation[name]:
                action(name, *args)
        self.now_s = end_s

    def connected(self, first, second):
        """Return whether two routers can reach each other."""
        return self.links is None or frozenset((first, second)) in self.links

    def _schedule(self, delay_s, name, action, *args):
        self.sequence += 1
        entry = (name, self.generation[name], action, args)
        heapq.heappush(
            self.queue, (self.now_s + delay_s, self.sequence, *entry)
        )

    def _handle_event(self, name, event):
        self._execute_effects(
            name, self.trackers[name].handle(event, self.now_s)
        )

    def _tick(self, name):
        self._execute_effects(name, self.trackers[name].tick(self.now_s))
        self._schedule(0.2, name, self._tick)

    def _probe(self, name):
        for peer in self.rng.sample(self.names, 2):
            if peer != name:
                self._exchange_revisions(name, peer)
        self._schedule(PROBE_PERIOD_S, name, self._probe)

    def _execute_effects(self, name, effects):
        tracker = self.trackers[name]
        for effect in effects:
            match effect:
                case platform_effects.WatchConfig(delay_s=delay_s):
                    self.open_watches.pop(name, None)
                    self._schedule(
                        LINK_DELAY_S + delay_s, name, self._start_watch, effect
                    )
                case platform_effects.PutConfigInForce(stored, _):
                    self.history[name].append((self.now_s, stored.revision))
                    if name not in self.cut_from_platform:
                        self.statuses[name] = stored.revision
                case platform_effects.StartServing(revision):
                    assert revision == tracker.revision
                case peer_effects.ExchangeRevision(peer):
                    self._exchange_revisions(name, peer)
                case peer_effects.FetchConfig(peer, _):
                    self._schedule(LINK_DELAY_S, name, self._fetch_config, peer)

    def _start_watch(self, name, effect):
        if name in self.cut_from_platform:
            failed = platform_events.WatchFailed(effect.attempt)
            self._schedule(0.0, name, self._handle_event, failed)
        elif self._visible_version()[0] > effect.after_version or (
            effect.after_version == 0
        ):
            self._schedule(LINK_DELAY_S, name, self._answer_watch, effect)
        else:
            self.open_watches[name] = effect
            self._schedule(effect.timeout_s, name, self._time_out_watch, effect)

    def _time_out_watch(self, name, effect):
        if (
            self.open_watches.get(name) is effect
            and name not in self.silent_watches
        ):
            del self.open_watches[name]
            unchanged = platform_events.WatchReturned(effect.attempt, None, 0)
            self._handle_event(name, unchanged)

    def _answer_watch(self, name, effect):
        version, value = self._visible_version()
        if version <= effect.after_version:
            version, value = 0, None
        self._handle_event(
            name, platform_events.WatchReturned(effect.attempt, value, version)
        )

    def _visible_version(self):
        return self.versions[
            max(0, len(self.versions) - 1 - self.read_lag_versions)
        ]

    def _exchange_revisions(self, name, peer):
        if not self.connected(name, peer) or peer not in self.trackers:
            self._schedule(
                LINK_DELAY_S,
                name,
                self._handle_event,
                peer_events.PeerFailed(peer),
            )
            return
        self._schedule(
            LINK_DELAY_S,
            peer,
            self._receive_revision,
            name,
            self._revision_message(name),
        )
        self._schedule(LINK_DELAY_S, name, self._receive_reply, peer)

    def _receive_reply(self, name, peer):
        self._schedule(
            LINK_DELAY_S,
            name,
            self._receive_revision,
            peer,
            self._revision_message(peer),
        )

    def _receive_revision(self, name, _, message):
        self._handle_event(name, message)

    def _revision_message(self, name):
        tracker = self.trackers[name]
        return peer_events.PeerRevision(
            name, tracker.revision, tracker.confirmed_age_s(self.now_s)
        )

    def _fetch_config(self, name, peer):
        value = self.trackers[peer].encoded_config
        failed = not self.connected(name, peer) or value is None
        event = (
            peer_events.PeerFailed(peer)
            if failed
            else peer_events.ConfigFetched(peer, value)
        )
        self._schedule(LINK_DELAY_S, name, self._handle_event, event)
