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
    """Naive tracker that trusts its open watch and hears no peers."""

    def handle(self, event, now_s):
        """Take an event, but none about a peer's revision."""
        if isinstance(event, peer_events.PeerRevision):
            event = peer_events.PeerFailed(event.peer)
        return super().handle(event, now_s)

    def tick(self, now_s):
        """Do nothing about a lost watch."""
        return []


def tracker():
    return revision_tracker.RevisionTracker(
        policy=tracker_policy.TrackerPolicy(), rng=random.Random(1)
    )


def kinds(effects):
    return [type(effect) for effect in effects]


def assert_never_reverts(fleet):
    for name, changes in fleet.history.items():
        revisions = [revision for _, revision in changes]
        assert revisions == sorted(revisions), name


@pytest.fixture
def started(fleet_class, encoded):
    """Return a function that starts a fleet with revision 1."""
    return functools.partial(start_fleet, fleet_class, encoded)


def start_fleet(
    fleet_class, encoded, seed, make=revision_tracker.RevisionTracker
):
    fleet = fleet_class(names=NAMES, seed=seed, make=make)
    fleet.apply(1, encoded(1))
    for name in NAMES:
        fleet.start(name)
    fleet.run(5.0)
    assert all(one.serving for one in fleet.trackers.values())
    return fleet


def assert_spreads(fleet, encoded):
    """Spread revision 2 to the routers that a chain of links reaches."""
    side = NAMES[:6]
    fleet.links = {
        frozenset((one, other))
        for group in (side, NAMES[6:])
        for one in group
        for other in group
    }
    # Of six routers that reach each other, two reach the platform, and the
    # watch of one of these two has gone silent.
    fleet.cut = set(NAMES[2:])
    fleet.silent = {NAMES[0]}
    fleet.run(fleet.rng.uniform(1, 3))
    recorded_s = fleet.now_s
    fleet.apply(2, encoded(2))
    fleet.run(SPREAD_LIMIT_S)
    late = [name for name in side if fleet.trackers[name].revision < 2]
    assert late == [], f"without revision 2 since {recorded_s}"
    others = [fleet.trackers[name].revision for name in NAMES[6:]]
    assert others == [1, 1, 1]
    fleet.cut, fleet.links = set(), None
    fleet.run(SPREAD_LIMIT_S)
    assert {one.revision for one in fleet.trackers.values()} == {2}
    assert_never_reverts(fleet)


@pytest.mark.parametrize("seed", range(20))
def test_revision_reaches_each_reachable_router_within_the_limit(
    seed, started, encoded
):
    """Guards against a partition or a silent watch that hides a revision."""
    assert_spreads(started(seed), encoded)


def test_spread_check_fails_for_watches_alone(started, encoded):
    """Shows that the spread test fails without peers and lost-watch check."""
    with pytest.raises(AssertionError, match="without revision 2"):
        assert_spreads(started(1, WatchOnlyTracker), encoded)


@pytest.mark.parametrize("seed", range(5))
def test_all_watches_lost_at_once_delays_within_the_limit(
    seed, started, encoded
):
    """Guards against a fleet that waits for connections that went silent."""
    fleet = started(seed)
    fleet.silent = set(NAMES)
    fleet.links = set()
    fleet.apply(2, encoded(2))
    fleet.run(SPREAD_LIMIT_S)
    assert {one.revision for one in fleet.trackers.values()} == {2}


def test_restarted_router_serves_nothing_older_after_a_stale_read(
    started, encoded
):
    """Guards against a configuration that reverts through a restart."""
    fleet = started(3)
    fleet.apply(2, encoded(2))
    fleet.run(SPREAD_LIMIT_S)
    fleet.stale_reads = 1
    fleet.links = set()
    fleet.start(NAMES[0])
    fleet.run(10.0)
    restarted = fleet.trackers[NAMES[0]]
    assert not restarted.serving
    fleet.links = None
    fleet.run(SPREAD_LIMIT_S)
    assert (restarted.serving, restarted.revision) == (True, 2)


def test_restarted_router_waits_for_the_peers_that_it_asked(encoded):
    """Guards against serving on one answer when a peer knows more."""
    one = tracker()
    effects = one.handle(platform_events.StatusRegistered(0, ("a", "b")), 0.0)
    assert kinds(effects).count(peer_effects.ExchangeRevision) == 2
    watch = effects[-1]
    effects = one.handle(
        platform_events.WatchReturned(watch.attempt, encoded(4), 40), 0.1
    )
    assert platform_effects.StartServing not in kinds(effects)
    one.handle(peer_events.PeerRevision("a", 5), 0.2)
    effects = one.handle(peer_events.PeerFailed("b"), 0.3)
    assert platform_effects.StartServing not in kinds(effects)
    effects = one.handle(peer_events.ConfigFetched("a", encoded(5)), 0.4)
    assert effects[0].stored.revision == 5
    effects = one.handle(peer_events.PeerRevision("a", 5, 1.0), 0.5)
    assert effects == [platform_effects.StartServing(5)]


@pytest.mark.parametrize(
    "event",
    [
        lambda encoded: platform_events.WatchReturned(1, encoded(2), 20),
        lambda encoded: peer_events.ConfigFetched("a", encoded(2)),
        lambda _: platform_events.WatchReturned(1, b"not a configuration", 99),
        lambda _: platform_events.WatchReturned(1, None, 0),
    ],
)
def test_older_or_broken_content_changes_nothing(encoded, event):
    """Guards against a stale read, a late fetch and an unreadable object."""
    one = tracker()
    one.handle(platform_events.StatusRegistered(0, ()), 0.0)
    one.handle(platform_events.WatchReturned(1, encoded(3), 30), 0.1)
    effects = one.handle(event(encoded), 0.2)
    assert platform_effects.PutConfigInForce not in kinds(effects)
    assert one.revision == 3


def test_watch_without_a_change_confirms_only_what_the_platform_showed(
    encoded,
):
    """Guards against a stale watch that confirms a peer's revision."""
    one = tracker()
    one.handle(platform_events.StatusRegistered(0, ()), 0.0)
    one.handle(peer_events.ConfigFetched("a", encoded(6)), 0.1)
    one.handle(platform_events.WatchReturned(1, encoded(5), 50), 0.2)
    one.handle(platform_events.WatchReturned(2, None, 0), 2.2)
    assert not one.serving
    one.handle(platform_events.WatchReturned(3, encoded(6), 60), 2.3)
    assert one.serving


def test_same_revision_again_is_put_in_force_once(encoded):
    """Guards against status writes for each watch and each fetch."""
    one = tracker()
    one.handle(platform_events.StatusRegistered(0, ()), 0.0)
    one.handle(platform_events.WatchReturned(1, encoded(3), 30), 0.1)
    again = [
        *one.handle(platform_events.WatchReturned(2, encoded(3), 30), 0.2),
        *one.handle(peer_events.ConfigFetched("a", encoded(3)), 0.3),
    ]
    assert platform_effects.PutConfigInForce not in kinds(again)
    assert one.confirmed_age_s(0.2) == 0.0


def test_partitioned_router_serves_on_and_says_that_it_is_unconfirmed(encoded):
    """Guards against a partition that stops prepaid work."""
    one = tracker()
    one.handle(platform_events.StatusRegistered(0, ()), 0.0)
    one.handle(platform_events.WatchReturned(1, encoded(3), 30), 0.1)
    one.handle(platform_events.WatchFailed(2), 0.2)
    assert one.serving
    assert one.confirmed_age_s(600.1) == 600.0
    one.handle(peer_events.PeerRevision("a", 4), 600.1)
    assert one.confirmed_age_s(600.2) == math.inf
    assert one.serving
