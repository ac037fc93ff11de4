"""State machine test of revision trackers with partitions and restarts."""

from __future__ import annotations

import os

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st
import pytest

from jasminetally._config import revision_tracker

NAMES = ("a", "b", "c")
# JASMINETALLY_TEST_STEPS sets a higher number for long runs.
STEPS_PER_EXAMPLE = int(os.environ.get("JASMINETALLY_TEST_STEPS", "30"))
EXAMPLES = 200
DURATIONS_S = st.sampled_from([0.004, 0.05, 0.7, 3.0])
LINKS = [frozenset(pair) for pair in ("ab", "ac", "bc")]


class NaiveStartTracker(revision_tracker.RevisionTracker):
    """Faulty tracker: it serves after one platform read, asking no peers."""

    def _on_status_registered(self, revision, peers, now_s):
        return super()._on_status_registered(0, (), now_s)


class LastWriterWinsTracker(revision_tracker.RevisionTracker):
    """Faulty tracker: it puts in force whatever arrives last."""

    def _accept_config(self, value, *, from_platform=False):
        self._config, self._highest_known_revision = None, 0
        yield from super()._accept_config(value, from_platform=from_platform)


class RevisionMachine(stateful.RuleBasedStateMachine):
    """Three routers; the test sets the three class attributes."""

    tracker_class = revision_tracker.RevisionTracker
    fleet_class = None
    encode_revision = None

    def __init__(self):
        super().__init__()
        self.fleet = self.fleet_class(
            names=NAMES, seed=1, tracker_class=self.tracker_class
        )
        self.fleet.links = set(LINKS)
        self.revision = 1
        self.fleet.record(1, self.encode_revision(1))
        for name in NAMES:
            self.fleet.start(name)
        self.served_revisions = dict.fromkeys(NAMES, 0)
        self.fleet.advance(5.0)

    @stateful.rule(count=st.integers(0, 2), duration_s=DURATIONS_S)
    def record_revisions(self, count, duration_s):
        """Record some revisions and advance virtual time."""
        for _ in range(count):
            self.revision += 1
            self.fleet.record(
                self.revision, self.encode_revision(self.revision)
            )
        self.fleet.advance(duration_s)

    @stateful.rule(name=st.sampled_from(NAMES), cut=st.booleans())
    def cut_platform(self, name, cut):
        """Cut or restore a router's connection to the platform."""
        (
            self.fleet.cut_from_platform.add
            if cut
            else self.fleet.cut_from_platform.discard
        )(name)
        if not cut and self.fleet.trackers[name].revision:
            # A router writes its status once it reaches the platform again.
            self.fleet.statuses[name] = self.fleet.trackers[name].revision

    @stateful.rule(name=st.sampled_from(NAMES), silent=st.booleans())
    def silence_watch(self, name, silent):
        """Make a router's open watches never return, or return again."""
        (
            self.fleet.silent_watches.add
            if silent
            else self.fleet.silent_watches.discard
        )(name)

    @stateful.rule(links=st.sets(st.sampled_from(LINKS)))
    def partition_routers(self, links):
        """Leave only some pairs of routers connected."""
        self.fleet.links = links

    @stateful.rule(
        name=st.sampled_from(NAMES),
        lag_versions=st.integers(0, 2),
        duration_s=DURATIONS_S,
    )
    def restart_router(self, name, lag_versions, duration_s):
        """Restart a router while platform reads may be stale."""
        # A router can only register if it reaches the platform. A revision
        # that it served without writing it to its status is not protected
        # from a stale read after a restart; see docs/guarantees.md.
        self.fleet.read_lag_versions = lag_versions
        recorded = self.fleet.statuses.get(name, 0)
        if (
            name in self.fleet.cut_from_platform
            or self.served_revisions[name] > recorded
        ):
            return
        self.fleet.start(name)
        self.fleet.advance(duration_s)

    @stateful.invariant()
    def never_serves_an_older_revision(self):
        """Check that no serving router has gone back to an older revision."""
        for name, tracker in self.fleet.trackers.items():
            if tracker.serving:
                assert tracker.revision >= self.served_revisions[name], name
                self.served_revisions[name] = tracker.revision

    @stateful.invariant()
    def has_only_recorded_revisions(self):
        """Check that no router has a revision that was never recorded."""
        for tracker in self.fleet.trackers.values():
            assert tracker.revision <= self.revision

    def teardown(self):
        """End all faults; every router has the last revision within 4 s."""
        self.fleet.cut_from_platform, self.fleet.silent_watches = set(), set()
        self.fleet.links, self.fleet.read_lag_versions = None, 0
        self.fleet.advance(4.0)
        found = {tracker.revision for tracker in self.fleet.trackers.values()}
        assert found == {self.revision}


def run_state_machine(tracker_class, fleet_class, encode_revision):
    machine = type(
        "Machine",
        (RevisionMachine,),
        {
            "tracker_class": tracker_class,
            "fleet_class": fleet_class,
            "encode_revision": staticmethod(encode_revision),
        },
    )
    settings = hypothesis.settings(
        derandomize=True,
        database=None,
        deadline=None,
        max_examples=EXAMPLES,
        phases=[hypothesis.Phase.generate],
        stateful_step_count=STEPS_PER_EXAMPLE,
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    stateful.run_state_machine_as_test(machine, settings=settings)


def test_revision_never_reverts(fleet_class, encode_revision):
    """Guards against a partition, restart or stale read that reverts it."""
    run_state_machine(
        revision_tracker.RevisionTracker, fleet_class, encode_revision
    )


@pytest.mark.parametrize(
    "tracker_class", [NaiveStartTracker, LastWriterWinsTracker]
)
def test_state_machine_fails_for_a_naive_tracker(
    tracker_class, fleet_class, encode_revision
):
    """Shows that the state machine test detects a router that reverts."""
    with pytest.raises(AssertionError):
        run_state_machine(tracker_class, fleet_class, encode_revision)
