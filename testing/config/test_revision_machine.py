"""State machine of revision trackers under partitions and restarts."""

from __future__ import annotations

import os

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st
import pytest

from jasminetally._config import revision_tracker

NAMES = ("a", "b", "c")
# Steps of one example; JASMINETALLY_TEST_STEPS sets more for long runs.
STEPS = int(os.environ.get("JASMINETALLY_TEST_STEPS", "30"))
EXAMPLES = 200
DURATIONS_S = st.sampled_from([0.004, 0.05, 0.7, 3.0])
LINKS = [frozenset(pair) for pair in ("ab", "ac", "bc")]


class NaiveStartTracker(revision_tracker.RevisionTracker):
    """Naive tracker that starts on the first answer of the platform."""

    def _on_registered(self, revision, peers, now_s):
        return super()._on_registered(0, (), now_s)


class LastWriterWinsTracker(revision_tracker.RevisionTracker):
    """Naive tracker that takes whatever arrives last."""

    def _take(self, value, *, from_platform=False):
        self._stored, self._floor = None, 0
        yield from super()._take(value, from_platform=from_platform)


class RevisionMachine(stateful.RuleBasedStateMachine):
    """Three routers; ``make`` and the two functions are set by the test."""

    make = revision_tracker.RevisionTracker
    fleet_class = None
    encoded = None

    def __init__(self):
        super().__init__()
        self.fleet = self.fleet_class(names=NAMES, seed=1, make=self.make)
        self.fleet.links = set(LINKS)
        self.revision = 1
        self.fleet.apply(1, self.encoded(1))
        for name in NAMES:
            self.fleet.start(name)
        self.served = dict.fromkeys(NAMES, 0)
        self.fleet.run(5.0)

    @stateful.rule(count=st.integers(0, 2), duration_s=DURATIONS_S)
    def record(self, count, duration_s):
        """Record some revisions and let virtual time pass."""
        for _ in range(count):
            self.revision += 1
            self.fleet.apply(self.revision, self.encoded(self.revision))
        self.fleet.run(duration_s)

    @stateful.rule(name=st.sampled_from(NAMES), cut=st.booleans())
    def cut_platform(self, name, cut):
        """Cut or restore a router's link to the platform."""
        (self.fleet.cut.add if cut else self.fleet.cut.discard)(name)
        if not cut and self.fleet.trackers[name].revision:
            # A router writes its status once the platform is back.
            self.fleet.statuses[name] = self.fleet.trackers[name].revision

    @stateful.rule(name=st.sampled_from(NAMES), silent=st.booleans())
    def silence_watch(self, name, silent):
        """Silence a router's open watch, or end that."""
        (self.fleet.silent.add if silent else self.fleet.silent.discard)(name)

    @stateful.rule(links=st.sets(st.sampled_from(LINKS)))
    def partition(self, links):
        """Leave only some links between routers."""
        self.fleet.links = links

    @stateful.rule(
        name=st.sampled_from(NAMES),
        lag=st.integers(0, 2),
        duration_s=DURATIONS_S,
    )
    def restart(self, name, lag, duration_s):
        """Replace a router while the platform returns earlier versions."""
        # Registration needs the platform, and a status that was never
        # written can't protect from a stale read: docs/guarantees.md.
        self.fleet.stale_reads = lag
        recorded = self.fleet.statuses.get(name, 0)
        if name in self.fleet.cut or self.served[name] > recorded:
            return
        self.fleet.start(name)
        self.fleet.run(duration_s)

    @stateful.invariant()
    def serves_nothing_older_than_before(self):
        """Check each serving router against what it served."""
        for name, tracker in self.fleet.trackers.items():
            if tracker.serving:
                assert tracker.revision >= self.served[name], name
                self.served[name] = tracker.revision

    @stateful.invariant()
    def has_only_what_was_recorded(self):
        """Check that no router has an invented revision."""
        for tracker in self.fleet.trackers.values():
            assert tracker.revision <= self.revision

    def teardown(self):
        """Heal everything; all routers have the last revision in 4 s."""
        self.fleet.cut, self.fleet.silent = set(), set()
        self.fleet.links, self.fleet.stale_reads = None, 0
        self.fleet.run(4.0)
        found = {one.revision for one in self.fleet.trackers.values()}
        assert found == {self.revision}


def run_machine(make, fleet_class, encoded):
    machine = type(
        "Machine",
        (RevisionMachine,),
        {
            "make": make,
            "fleet_class": fleet_class,
            "encoded": staticmethod(encoded),
        },
    )
    settings = hypothesis.settings(
        derandomize=True,
        database=None,
        deadline=None,
        max_examples=EXAMPLES,
        phases=[hypothesis.Phase.generate],
        stateful_step_count=STEPS,
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    stateful.run_state_machine_as_test(machine, settings=settings)


def test_revision_never_reverts(fleet_class, encoded):
    """Guards against a revert by partition, restart or stale read."""
    run_machine(revision_tracker.RevisionTracker, fleet_class, encoded)


@pytest.mark.parametrize("make", [NaiveStartTracker, LastWriterWinsTracker])
def test_machine_fails_for_a_naive_tracker(make, fleet_class, encoded):
    """Shows that the machine finds a router that reverts."""
    with pytest.raises(AssertionError):
        run_machine(make, fleet_class, encoded)
