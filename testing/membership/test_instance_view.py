"""Tests of the instance view."""

from __future__ import annotations

import random

import pytest

from jasminetally._membership import death_effects
from jasminetally._membership import evidence
from jasminetally._membership import instance_view
from jasminetally._membership import list_events
from jasminetally._membership import listed_instance
from jasminetally._membership import probe_events
from jasminetally._membership import router_state
from jasminetally._membership import router_status
from jasminetally._membership import status_codec
from jasminetally._membership import status_events
from jasminetally._membership import view_effects
from jasminetally._membership import view_policy

State = router_state.RouterState
CENTRES = {"a": "lj", "b": "lj", "c": "kr", "d": "kr"}
ENOUGH = evidence.Evidence("b#2", 31.0, 31.0, 9)


class ListOnlyView(instance_view.InstanceView):
    """Naive view: an instance is usable as long as the list names it."""

    def _accepts_callers(self, name):
        return self._instance_list.get(name) is not None


class TimeBasedView(instance_view.InstanceView):
    """Naive view: an instance is dead when probes fail for 30 s."""

    def _confirm_unreachable(self, now_s):
        for name, status in self.routers().items():
            if self._members[name].unreachable_s >= 30.0:
                yield from self._deaths.add(status.incarnation, "timeout")


def status(name, number=2, state=State.READY, deaths=()):
    return router_status.RouterStatus(
        name,
        f"{name}#{number}",
        CENTRES[name],
        f"http-{name}",
        f"peer-{name}",
        state,
        1,
        deaths,
    )


def listed(*names, leaving=()):
    return list_events.ListRead(
        tuple(
            listed_instance.ListedInstance(
                instance=name,
                data_centre="lj",
                state="leaving" if name in leaving else "live",
            )
            for name in names
        )
    )


def make_view(make=instance_view.InstanceView):
    view = make(
        own=status("a", 1),
        policy=view_policy.ViewPolicy(dead_after_s=30.0),
        rng=random.Random(1),
    )
    view.handle(listed("a", "b", "c", "d"), 0.0)
    statuses = tuple(status(name) for name in "bcd")
    view.handle(status_events.StatusesRead(statuses), 0.0)
    return view


def deaths_in(effects):
    return [
        effect.incarnation
        for effect in effects
        if isinstance(effect, death_effects.AcknowledgeDeath)
    ]


def pass_time(view, seconds, names, *, witness=ENOUGH, by="c", start_s=0):
    """Read the list and fail a probe of b each second; return deaths."""
    found = []
    for second in range(start_s + 1, start_s + seconds + 1):
        events = [listed(*names), probe_events.ProbeFailed("b")]
        if witness is not None:
            events.append(probe_events.EvidenceReceived(by, witness))
        for event in events:
            found += deaths_in(view.handle(event, float(second)))
    return found


def test_addresses_are_ready_routers_of_the_own_data_centre_first():
    """Guards against callers sent to another data centre without need."""
    answer = make_view().addresses()
    assert set(answer.addresses[:2]) == {"http-a", "http-b"}
    assert set(answer.addresses[2:]) == {"http-c", "http-d"}
    assert answer.max_age_s == 10.0


def check_drained_router_leaves_the_addresses(view):
    draining = status("b", state=State.DRAINING)
    view.handle(status_events.StatusReceived(draining), 1.0)
    view.handle(listed("a", "b", "c", "d"), 2.0)
    assert "http-b" not in view.addresses().addresses


def test_draining_router_leaves_the_addresses_before_the_list_says_so():
    """Guards against callers sent to a router that refuses them."""
    check_drained_router_leaves_the_addresses(make_view())
    with pytest.raises(AssertionError):
        check_drained_router_leaves_the_addresses(make_view(ListOnlyView))


@pytest.mark.parametrize(
    "event",
    [
        listed("a", "b", "c", "d", leaving="b"),
        listed("a", "c", "d"),
        status_events.StatusDeleted("b"),
        status_events.StatusReceived(status("b", 3, State.STARTING)),
        probe_events.PeerMessageReceived("b#2", State.DRAINING),
    ],
)
def test_router_that_is_not_ready_is_no_address(event):
    """Guards against each single source of news being ignored."""
    view = make_view()
    view.handle(event, 1.0)
    assert "http-b" not in view.addresses().addresses


def test_late_ready_message_does_not_undo_a_drain():
    """Guards against messages that arrive out of order."""
    view = make_view()
    view.handle(probe_events.PeerMessageReceived("b#2", State.DRAINING), 1.0)
    view.handle(probe_events.PeerMessageReceived("b#2", State.READY), 1.1)
    view.handle(status_events.StatusReceived(status("b")), 1.2)
    assert "http-b" not in view.addresses().addresses


def test_new_router_is_an_address_once_it_answered():
    """Guards against a list lag that hides a ready router."""
    view = make_view()
    view.handle(listed("a", "c", "d"), 0.5)
    assert "http-b" not in view.addresses().addresses
    view.handle(probe_events.PeerMessageReceived("b#2", State.READY), 1.0)
    assert "http-b" in view.addresses().addresses


@pytest.mark.parametrize("size", [9, 370])
def test_probes_cost_the_same_in_a_large_fleet(size):
    """Guards against control traffic that grows with the fleet."""
    view = make_view()
    statuses = tuple(
        status("b")._replace(instance=f"r{n}", incarnation=f"r{n}#1")
        for n in range(size)
    )
    view.handle(status_events.StatusesRead(statuses), 1.0)
    effects = [
        effect
        for tenth in range(100)
        for effect in view.tick(10.0 + tenth / 10)
        if isinstance(effect, view_effects.ProbePeer)
    ]
    assert len(effects) == 20


def test_reads_stay_within_the_rate_for_control():
    """Guards against status reads that exceed 2 KB/s at 370 routers."""
    view = make_view()
    statuses = tuple(
        status("b")._replace(instance=f"r{n}", incarnation=f"r{n}#1")
        for n in range(370)
    )
    value_bytes = len(status_codec.encode_status(statuses[0])) + 70
    view.handle(status_events.StatusesRead(statuses), 0.0)
    reads = sum(
        isinstance(effect, view_effects.ReadMembers)
        for second in range(1, 1001)
        for effect in view.tick(float(second))
    )
    assert reads * 370 * value_bytes / 1000 <= 2000


def test_death_is_confirmed_at_the_read_period_of_a_large_fleet():
    """Guards against reads so rare that no absence is ever long enough."""
    view = make_view()
    others = tuple(
        status("c")._replace(instance=f"r{n}", incarnation=f"r{n}#1")
        for n in range(370)
    )
    statuses = status_events.StatusesRead((status("b"), *others))
    view.handle(statuses, 0.0)
    names = [other.instance for other in others]
    found = []
    for second in range(1, 121):
        now_s = float(second)
        for effect in view.tick(now_s):
            if isinstance(effect, view_effects.ReadMembers):
                found += deaths_in(view.handle(listed("a", *names), now_s))
                found += deaths_in(view.handle(statuses, now_s))
        for event in (
            probe_events.ProbeFailed("b"),
            probe_events.EvidenceReceived("c", ENOUGH),
        ):
            found += deaths_in(view.handle(event, now_s))
    assert found == ["b#2"]


@pytest.mark.parametrize("seconds", [60, 600])
def test_listed_but_silent_router_is_never_confirmed_dead(seconds):
    """Guards against grants of a paused or partitioned router freed twice."""
    assert pass_time(make_view(), seconds, "abcd") == []
    naive = pass_time(make_view(TimeBasedView), seconds, "abcd")
    assert naive == ["b#2"]


def test_unlisted_and_unreached_router_is_confirmed_dead():
    """Guards against grants of a dead router that stay locked."""
    view = make_view()
    assert pass_time(view, 30, "acd") == []
    assert pass_time(view, 1, "acd", start_s=30) == ["b#2"]
    assert view.is_dead("b#2")
    assert view.deaths == ("b#2",)


@pytest.mark.parametrize(
    ("witness", "by"),
    [
        (None, "c"),
        (ENOUGH._replace(unlisted_s=29.0), "c"),
        (ENOUGH._replace(unreachable_s=29.0), "c"),
        (ENOUGH._replace(incarnation="b#1"), "c"),
        (ENOUGH, "a"),
    ],
)
def test_one_router_alone_confirms_no_death(witness, by):
    """Guards against own isolation, or an echo, taken for a death."""
    assert pass_time(make_view(), 60, "acd", witness=witness, by=by) == []


def test_evidence_that_is_old_counts_no_longer():
    """Guards against a death by evidence of another time."""
    view = make_view()
    pass_time(view, 20, "acd")
    assert pass_time(view, 60, "acd", witness=None, start_s=20) == []


def test_evidence_that_its_router_withdrew_counts_no_longer():
    """Guards against a death although a witness has reached the router."""
    view = make_view()
    pass_time(view, 28, "acd")
    reached = ENOUGH._replace(unreachable_s=0.0)
    pass_time(view, 1, "acd", witness=reached, start_s=28)
    assert pass_time(view, 30, "acd", witness=None, start_s=29) == []


def test_router_that_fails_two_probes_is_no_address():
    """Guards against callers sent to a router that hangs."""
    view = make_view()
    view.handle(probe_events.ProbeFailed("b"), 1.0)
    assert "http-b" in view.addresses().addresses
    view.handle(probe_events.ProbeFailed("b"), 2.0)
    assert "http-b" not in view.addresses().addresses
    view.handle(probe_events.PeerMessageReceived("b#2", State.READY), 3.0)
    assert "http-b" in view.addresses().addresses


def test_one_listing_or_answer_starts_the_count_again():
    """Guards against a death confirmed over an interrupted absence."""
    view = make_view()
    pass_time(view, 25, "acd")
    pass_time(view, 1, "abcd", start_s=25)
    assert pass_time(view, 30, "acd", start_s=26) == []
    view.handle(probe_events.PeerMessageReceived("b#2", State.READY), 56.5)
    assert pass_time(view, 30, "acd", start_s=57) == []


def test_outage_of_the_list_does_not_count_as_absence():
    """Guards against a death by an outage, or by a pause of this process."""
    view = make_view()
    pass_time(view, 5, "acd")
    assert pass_time(view, 20, "acd", start_s=60) == []
    for second in range(81, 200):
        failed = probe_events.ProbeFailed("b")
        assert deaths_in(view.handle(failed, float(second))) == []


def test_newer_incarnation_confirms_the_death_of_the_earlier_one():
    """Guards against grants of a crashed and restarted router lost."""
    view = make_view()
    effects = view.handle(status_events.StatusReceived(status("b", 7)), 1.0)
    assert deaths_in(effects) == ["b#2"]
    stale = view.handle(status_events.StatusReceived(status("b", 2)), 2.0)
    assert stale == []
    assert view.routers()["b"].incarnation == "b#7"


def test_restart_is_seen_although_a_stale_read_lacked_the_router():
    """Guards against a death that this router alone never acknowledges."""
    view = make_view()
    view.handle(status_events.StatusesRead((status("c"), status("d"))), 1.0)
    effects = view.handle(status_events.StatusReceived(status("b", 7)), 2.0)
    assert deaths_in(effects) == ["b#2"]


def test_drained_router_that_comes_back_is_no_death():
    """Guards against recovery work after each clean restart."""
    view = make_view()
    view.handle(status_events.StatusDeleted("b"), 1.0)
    effects = view.handle(status_events.StatusReceived(status("b", 7)), 2.0)
    assert deaths_in(effects) == []


def test_reported_death_is_acknowledged_only_without_counter_evidence():
    """Guards against one wrong report that spreads."""
    reporter = status_events.StatusReceived(status("c", deaths=("b#2",)))
    view = make_view()
    assert deaths_in(view.handle(reporter, 1.0)) == []
    view.handle(probe_events.PeerMessageReceived("b#2", State.READY), 2.0)
    view.handle(listed("a", "c", "d"), 3.0)
    assert deaths_in(view.handle(reporter, 31.0)) == []
    assert deaths_in(view.handle(reporter, 32.0)) == ["b#2"]


def test_recovery_waits_for_each_router_that_exists():
    """Guards against grants freed while a router still talks to the dead."""
    view = make_view()
    pass_time(view, 31, "acd")
    assert view.missing_acknowledgements("b#2") == ("c", "d")
    for name in "cd":
        seen = status(name, deaths=("b#2",))
        view.handle(status_events.StatusReceived(seen), 40.0)
    assert view.missing_acknowledgements("b#2") == ()


@pytest.mark.parametrize("seen", [status("a", 9), status("c", deaths=("a#1",))])
def test_router_that_others_treat_as_gone_stops(seen):
    """Guards against spending from grants that were reclaimed."""
    effects = make_view().handle(status_events.StatusReceived(seen), 1.0)
    assert isinstance(effects[0], death_effects.StopSuperseded)


def test_leaving_backend_server_is_reported_once():
    """Guards against new work for an engine that is about to go."""
    view = make_view()
    view.handle(listed("a", "b", "c", "d", "engine-1", "engine-2"), 1.0)
    read = listed("a", "b", "c", "d", "engine-1", leaving=["engine-1"])
    assert view.handle(read, 2.0) == [
        death_effects.InstanceLeaving("engine-1", listed=True),
        death_effects.InstanceLeaving("engine-2", listed=False),
    ]
    assert view.handle(read, 3.0) == []
