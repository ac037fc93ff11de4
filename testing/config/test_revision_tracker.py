"""Tests of the revision tracker."""

from __future__ import annotations

import functools
import math
import random

import pytest

from jasminetally._config import peer_effects
from jasminetally._config import peer_events
from jasminetally._config import platform_effects
from jasminetally._config import platform_events
from jasminetally._config import revision_tracker
from jasminetally._config import tracker_policy

SPREAD_LIMIT_S = 4.0
NAMES = [f"router-{number}" for number in range(9)]


class WatchOnlyTracker(revision_tracker.RevisionTracker):
    """Faulty tracker: it ignores peers and never replaces a lost watch."""

    def handle(self, event, now_s):
        """Handle an event, but treat each peer as unreachable."""
        if isinstance(event, peer_events.PeerRevision):
            event = peer_events.PeerFailed(event.peer)
        return super().handle(event, now_s)

    def tick(self, now_s):
        """Leave a lost watch as it is."""
        return []


def make_tracker():
    return revision_tracker.RevisionTracker(
        policy=tracker_policy.TrackerPolicy(), rng=random.Random(1)
    )


def effect_types(effects):
    return [type(effect) for effect in effects]


def assert_never_reverts(fleet):
    for name, changes in fleet.history.items():
        revisions = [revision for _, revision in changes]
        assert revisions == sorted(revisions), name


@pytest.fixture
def start_fleet(fleet_class, encode_revision):
    """Return a function that starts a fleet at revision 1 from a seed."""
    return functools.partial(
        start_fleet_at_revision_1, fleet_class, encode_revision
    )


def start_fleet_at_revision_1(
    fleet_class,
    encode_revision,
    seed,
    tracker_class=revision_tracker.RevisionTracker,
):
    fleet = fleet_class(names=NAMES, seed=seed, tracker_class=tracker_class)
    fleet.record(1, encode_revision(1))
    for name in NAMES:
        fleet.start(name)
    fleet.advance(5.0)
    assert all(tracker.serving for tracker in fleet.trackers.values())
    return fleet


def assert_spreads(fleet, encode_revision):
    """Check that revision 2 reaches all routers connected to the platform."""
    connected_names = NAMES[:6]
    fleet.links = {
        frozenset((first, second))
        for group in (connected_names, NAMES[6:])
        for first in group
        for second in group
    }
    # Six routers are connected to each other and three are isolated from
    # them. Two of the six reach the platform, and the open watch of one of
    # these two never returns.
    fleet.cut_from_platform = set(NAMES[2:])
    fleet.silent_watches = {NAMES[0]}
    fleet.advance(fleet.rng.uniform(1, 3))
    recorded_s = fleet.now_s
    fleet.record(2, encode_revision(2))
    fleet.advance(SPREAD_LIMIT_S)
    outdated = [
        name for name in connected_names if fleet.trackers[name].revision < 2
    ]
    assert outdated == [], f"without revision 2, recorded at {recorded_s}"
    isolated = [fleet.trackers[name].revision for name in NAMES[6:]]
    assert isolated == [1, 1, 1]
    fleet.cut_from_platform, fleet.links = set(), None
    fleet.advance(SPREAD_LIMIT_S)
    assert {tracker.revision for tracker in fleet.trackers.values()} == {2}
    assert_never_reverts(fleet)


@pytest.mark.parametrize("seed", range(20))
def test_revision_reaches_each_reachable_router_within_the_limit(
    seed, start_fleet, encode_revision
):
    """Guards against a partition or a lost watch that delays a revision."""
    assert_spreads(start_fleet(seed), encode_revision)


def test_spread_check_fails_without_peers_and_replaced_watches(
    start_fleet, encode_revision
):
    """Shows that the spread test detects a tracker that relies on one watch."""
    with pytest.raises(AssertionError, match="without revision 2"):
        assert_spreads(start_fleet(1, WatchOnlyTracker), encode_revision)


@pytest.mark.parametrize("seed", range(5))
def test_revision_arrives_within_the_limit_when_all_watches_are_lost(
    seed, start_fleet, encode_revision
):
    """Guards against a fleet that waits for watches that never return."""
    fleet = start_fleet(seed)
    fleet.silent_watches = set(NAMES)
    fleet.links = set()
    fleet.record(2, encode_revision(2))
    fleet.advance(SPREAD_LIMIT_S)
    assert {tracker.revision for tracker in fleet.trackers.values()} == {2}


def test_restarted_router_does_not_serve_after_a_stale_read(
    start_fleet, encode_revision
):
    """Guards against a restart that reverts the configuration."""
    fleet = start_fleet(3)
    fleet.record(2, encode_revision(2))
    fleet.advance(SPREAD_LIMIT_S)
    fleet.read_lag_versions = 1
    fleet.links = set()
    fleet.start(NAMES[0])
    fleet.advance(10.0)
    restarted = fleet.trackers[NAMES[0]]
    assert not restarted.serving
    fleet.links = None
    fleet.advance(SPREAD_LIMIT_S)
    assert (restarted.serving, restarted.revision) == (True, 2)


def test_restarted_router_waits_for_replies_of_the_peers(encode_revision):
    """Guards against serving while a peer has a higher revision."""
    tracker = make_tracker()
    effects = tracker.handle(
        platform_events.StatusRegistered(0, ("a", "b")), 0.0
    )
    assert effect_types(effects).count(peer_effects.ExchangeRevision) == 2
    watch = effects[-1]
    effects = tracker.handle(
        platform_events.WatchReturned(watch.attempt, encode_revision(4), 40),
        0.1,
    )
    assert platform_effects.StartServing not in effect_types(effects)
    tracker.handle(peer_events.PeerRevision("a", 5), 0.2)
    effects = tracker.handle(peer_events.PeerFailed("b"), 0.3)
    assert platform_effects.StartServing not in effect_types(effects)
    effects = tracker.handle(
        peer_events.ConfigFetched("a", encode_revision(5)), 0.4
    )
    assert effects[0].stored.revision == 5
    effects = tracker.handle(peer_events.PeerRevision("a", 5, 1.0), 0.5)
    assert effects == [platform_effects.StartServing(5)]


@pytest.mark.parametrize(
    "event",
    [
        lambda encode: platform_events.WatchReturned(1, encode(2), 20),
        lambda encode: peer_events.ConfigFetched("a", encode(2)),
        lambda _: platform_events.WatchReturned(1, b"not a configuration", 99),
        lambda _: platform_events.WatchReturned(1, None, 0),
    ],
)
def test_older_or_undecodable_content_is_ignored(encode_revision, event):
    """Guards against a stale read, a late fetch or an invalid object."""
    tracker = make_tracker()
    tracker.handle(platform_events.StatusRegistered(0, ()), 0.0)
    tracker.handle(
        platform_events.WatchReturned(1, encode_revision(3), 30), 0.1
    )
    effects = tracker.handle(event(encode_revision), 0.2)
    assert platform_effects.PutConfigInForce not in effect_types(effects)
    assert tracker.revision == 3


def test_watch_without_a_change_confirms_only_a_platform_revision(
    encode_revision,
):
    """Guards against a stale watch that confirms a revision from a peer."""
    tracker = make_tracker()
    tracker.handle(platform_events.StatusRegistered(0, ()), 0.0)
    tracker.handle(peer_events.ConfigFetched("a", encode_revision(6)), 0.1)
    tracker.handle(
        platform_events.WatchReturned(1, encode_revision(5), 50), 0.2
    )
    tracker.handle(platform_events.WatchReturned(2, None, 0), 2.2)
    assert not tracker.serving
    tracker.handle(
        platform_events.WatchReturned(3, encode_revision(6), 60), 2.3
    )
    assert tracker.serving


def test_same_revision_again_is_put_in_force_once(encode_revision):
    """Guards against a status write after each watch and each fetch."""
    tracker = make_tracker()
    tracker.handle(platform_events.StatusRegistered(0, ()), 0.0)
    tracker.handle(
        platform_events.WatchReturned(1, encode_revision(3), 30), 0.1
    )
    effects = [
        *tracker.handle(
            platform_events.WatchReturned(2, encode_revision(3), 30), 0.2
        ),
        *tracker.handle(
            peer_events.ConfigFetched("a", encode_revision(3)), 0.3
        ),
    ]
    assert platform_effects.PutConfigInForce not in effect_types(effects)
    assert tracker.confirmed_age_s(0.2) == 0.0


def test_partitioned_router_keeps_serving_with_a_growing_age(encode_revision):
    """Guards against a partition that stops prepaid requests."""
    tracker = make_tracker()
    tracker.handle(platform_events.StatusRegistered(0, ()), 0.0)
    tracker.handle(
        platform_events.WatchReturned(1, encode_revision(3), 30), 0.1
    )
    tracker.handle(platform_events.WatchFailed(2), 0.2)
    assert tracker.serving
    assert tracker.confirmed_age_s(600.1) == 600.0
    tracker.handle(peer_events.PeerRevision("a", 4), 600.1)
    assert tracker.confirmed_age_s(600.2) == math.inf
    assert tracker.serving
