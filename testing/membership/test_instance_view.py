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
DATA_CENTRES = {"a": "lj", "b": "lj", "c": "kr", "d": "kr"}
SUFFICIENT_EVIDENCE = evidence.Evidence("b#2", 31.0, 31.0, 9)


class ListOnlyView(instance_view.InstanceView):
    """Naive variant: an instance gets callers as long as it is listed."""

    def _accepts_callers(self, name):
        return self._instance_list.get(name) is not None


class TimeBasedView(instance_view.InstanceView):
    """Naive variant: an instance is dead when probes fail for 30 s."""

    def _confirm_unreachable(self, now_s):
        for name, status in self.routers().items():
            if self._members[name].unreachable_s >= 30.0:
                yield from self._deaths.add(status.incarnation, "timeout")


def make_status(name, number=2, state=State.READY, deaths=()):
    return router_status.RouterStatus(
        name,
        f"{name}#{number}",
        DATA_CENTRES[name],
        f"http-{name}",
        f"peer-{name}",
        state,
        1,
        deaths,
    )


def list_read(*names, leaving=()):
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


def make_view(view_class=instance_view.InstanceView):
    view = view_class(
        own=make_status("a", 1),
        policy=view_policy.ViewPolicy(dead_after_s=30.0),
        rng=random.Random(1),
    )
    view.handle(list_read("a", "b", "c", "d"), 0.0)
    statuses = tuple(make_status(name) for name in "bcd")
    view.handle(status_events.StatusesRead(statuses), 0.0)
    return view


def acknowledged_deaths(effects):
    return [
        effect.incarnation
        for effect in effects
        if isinstance(effect, death_effects.AcknowledgeDeath)
    ]


def simulate_failed_probes(
    view,
    seconds,
    names,
    *,
    reported=SUFFICIENT_EVIDENCE,
    reporter="c",
    start_s=0,
):
    """Read the list and fail a probe of b each second.

    Returns:
        Incarnations whose death was confirmed.
    """
    deaths = []
    for second in range(start_s + 1, start_s + seconds + 1):
        events = [list_read(*names), probe_events.ProbeFailed("b")]
        if reported is not None:
            events.append(probe_events.EvidenceReceived(reporter, reported))
        for event in events:
            deaths += acknowledged_deaths(view.handle(event, float(second)))
    return deaths


def test_addresses_of_the_own_data_centre_come_first():
    """Guards against callers sent to another data centre without need."""
    answer = make_view().addresses()
    assert set(answer.addresses[:2]) == {"http-a", "http-b"}
    assert set(answer.addresses[2:]) == {"http-c", "http-d"}
    assert answer.max_age_s == 10.0


def check_draining_router_is_no_address(view):
    draining = make_status("b", state=State.DRAINING)
    view.handle(status_events.StatusReceived(draining), 1.0)
    view.handle(list_read("a", "b", "c", "d"), 2.0)
    assert "http-b" not in view.addresses().addresses


def test_draining_router_is_no_address_although_it_is_listed():
    """Guards against callers sent to a router that refuses them."""
    check_draining_router_is_no_address(make_view())
    with pytest.raises(AssertionError):
        check_draining_router_is_no_address(make_view(ListOnlyView))


@pytest.mark.parametrize(
    "event",
    [
        list_read("a", "b", "c", "d", leaving="b"),
        list_read("a", "c", "d"),
        status_events.StatusDeleted("b"),
        status_events.StatusReceived(make_status("b", 3, State.STARTING)),
        probe_events.PeerMessageReceived("b#2", State.DRAINING),
    ],
)
def test_router_that_is_not_ready_is_no_address(event):
    """Guards against a source that is ignored: list, status or message."""
    view = make_view()
    view.handle(event, 1.0)
    assert "http-b" not in view.addresses().addresses


def test_delayed_ready_message_does_not_end_a_drain():
    """Guards against messages that arrive out of order."""
    view = make_view()
    view.handle(probe_events.PeerMessageReceived("b#2", State.DRAINING), 1.0)
    view.handle(probe_events.PeerMessageReceived("b#2", State.READY), 1.1)
    view.handle(status_events.StatusReceived(make_status("b")), 1.2)
    assert "http-b" not in view.addresses().addresses


def test_old_status_object_does_not_undo_a_ready_message():
    """Guards against a ready router that callers are not told about.

    The status object was read before its change to ready and the result came
    after the router's message. Seen as 2 of 3 addresses just after the start.
    """
    view = make_view()
    starting = make_status("c", number=3, state=State.STARTING)
    view.handle(status_events.StatusReceived(starting), 1.0)
    assert "http-c" not in view.addresses().addresses
    view.handle(probe_events.PeerMessageReceived("c#3", State.READY), 2.0)
    view.handle(status_events.StatusReceived(starting), 2.1)
    assert "http-c" in view.addresses().addresses


def test_ready_message_counts_before_the_first_status_object():
    """Guards against a ready router that is listed a probe period too late.

    Its message comes before its status object is read, and that read may
    return an older state.
    """
    view = make_view()
    view.handle(probe_events.PeerMessageReceived("c#3", State.READY), 2.0)
    starting = make_status("c", number=3, state=State.STARTING)
    view.handle(status_events.StatusReceived(starting), 2.1)
    assert "http-c" in view.addresses().addresses


def test_unlisted_router_is_an_address_once_it_sent_a_message():
    """Guards against a ready router hidden by the lag of the list."""
    view = make_view()
    view.handle(list_read("a", "c", "d"), 0.5)
    assert "http-b" not in view.addresses().addresses
    view.handle(probe_events.PeerMessageReceived("b#2", State.READY), 1.0)
    assert "http-b" in view.addresses().addresses


@pytest.mark.parametrize("size", [9, 370])
def test_number_of_probes_does_not_depend_on_the_fleet_size(size):
    """Guards against control traffic that grows with the fleet."""
    view = make_view()
    statuses = tuple(
        make_status("b")._replace(instance=f"r{n}", incarnation=f"r{n}#1")
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


def test_status_reads_stay_below_the_limit_for_control_traffic():
    """Guards against status reads that exceed 2 KB/s at 370 routers."""
    view = make_view()
    statuses = tuple(
        make_status("b")._replace(instance=f"r{n}", incarnation=f"r{n}#1")
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
    """Guards against a read period longer than the largest allowed list gap.

    Each read would then restart the time for which a router is not listed, so
    that no death is ever confirmed.
    """
    view = make_view()
    others = tuple(
        make_status("c")._replace(instance=f"r{n}", incarnation=f"r{n}#1")
        for n in range(370)
    )
    statuses = status_events.StatusesRead((make_status("b"), *others))
    view.handle(statuses, 0.0)
    names = [other.instance for other in others]
    deaths = []
    for second in range(1, 121):
        now_s = float(second)
        for effect in view.tick(now_s):
            if isinstance(effect, view_effects.ReadMembers):
                deaths += acknowledged_deaths(
                    view.handle(list_read("a", *names), now_s)
                )
                deaths += acknowledged_deaths(view.handle(statuses, now_s))
        for event in (
            probe_events.ProbeFailed("b"),
            probe_events.EvidenceReceived("c", SUFFICIENT_EVIDENCE),
        ):
            deaths += acknowledged_deaths(view.handle(event, now_s))
    assert deaths == ["b#2"]


@pytest.mark.parametrize("seconds", [60, 600])
def test_listed_but_unreachable_router_is_never_confirmed_dead(seconds):
    """Guards against reclaiming grants of a paused or partitioned router.

    They would be spent twice: by that router and by others.
    """
    assert simulate_failed_probes(make_view(), seconds, "abcd") == []
    naive = simulate_failed_probes(make_view(TimeBasedView), seconds, "abcd")
    assert naive == ["b#2"]


def test_unlisted_and_unreachable_router_is_confirmed_dead():
    """Guards against grants of a dead router that are never reclaimed."""
    view = make_view()
    assert simulate_failed_probes(view, 30, "acd") == []
    assert simulate_failed_probes(view, 1, "acd", start_s=30) == ["b#2"]
    assert view.is_dead("b#2")
    assert view.deaths == ("b#2",)


@pytest.mark.parametrize(
    ("reported", "reporter"),
    [
        (None, "c"),
        (SUFFICIENT_EVIDENCE._replace(unlisted_s=29.0), "c"),
        (SUFFICIENT_EVIDENCE._replace(unreachable_s=29.0), "c"),
        (SUFFICIENT_EVIDENCE._replace(incarnation="b#1"), "c"),
        (SUFFICIENT_EVIDENCE, "a"),
    ],
)
def test_evidence_of_one_router_does_not_confirm_a_death(reported, reporter):
    """Guards against a death confirmed by an isolated router alone.

    Its own evidence, sent back to it, must not count as that of another one.
    """
    assert (
        simulate_failed_probes(
            make_view(), 60, "acd", reported=reported, reporter=reporter
        )
        == []
    )


def test_expired_evidence_does_not_confirm_a_death():
    """Guards against combining evidence from different times."""
    view = make_view()
    simulate_failed_probes(view, 20, "acd")
    assert (
        simulate_failed_probes(view, 60, "acd", reported=None, start_s=20) == []
    )


def test_withdrawn_evidence_does_not_confirm_a_death():
    """Guards against a death although a peer has reached the router again."""
    view = make_view()
    simulate_failed_probes(view, 28, "acd")
    withdrawn = SUFFICIENT_EVIDENCE._replace(unreachable_s=0.0)
    simulate_failed_probes(view, 1, "acd", reported=withdrawn, start_s=28)
    assert (
        simulate_failed_probes(view, 30, "acd", reported=None, start_s=29) == []
    )


def test_router_with_two_failed_probes_is_no_address():
    """Guards against callers sent to a router that hangs."""
    view = make_view()
    view.handle(probe_events.ProbeFailed("b"), 1.0)
    assert "http-b" in view.addresses().addresses
    view.handle(probe_events.ProbeFailed("b"), 2.0)
    assert "http-b" not in view.addresses().addresses
    view.handle(probe_events.PeerMessageReceived("b#2", State.READY), 3.0)
    assert "http-b" in view.addresses().addresses


def test_listing_or_message_restarts_the_confirmation_time():
    """Guards against adding up several short absences of a router."""
    view = make_view()
    simulate_failed_probes(view, 25, "acd")
    simulate_failed_probes(view, 1, "abcd", start_s=25)
    assert simulate_failed_probes(view, 30, "acd", start_s=26) == []
    view.handle(probe_events.PeerMessageReceived("b#2", State.READY), 56.5)
    assert simulate_failed_probes(view, 30, "acd", start_s=57) == []


def test_gap_in_list_results_does_not_count_as_absence():
    """Guards against a death confirmed after a store outage or a pause.

    No list results arrive in that time, neither with nor without the router.
    """
    view = make_view()
    simulate_failed_probes(view, 5, "acd")
    assert simulate_failed_probes(view, 20, "acd", start_s=60) == []
    for second in range(81, 200):
        failed = probe_events.ProbeFailed("b")
        assert acknowledged_deaths(view.handle(failed, float(second))) == []


def test_newer_incarnation_confirms_the_death_of_the_previous_one():
    """Guards against losing the grants of a crashed and restarted router."""
    view = make_view()
    effects = view.handle(
        status_events.StatusReceived(make_status("b", 7)), 1.0
    )
    assert acknowledged_deaths(effects) == ["b#2"]
    stale_effects = view.handle(
        status_events.StatusReceived(make_status("b", 2)), 2.0
    )
    assert stale_effects == []
    assert view.routers()["b"].incarnation == "b#7"


def test_restart_is_detected_after_a_stale_read_without_the_router():
    """Guards against a death that this router never acknowledges.

    Recovery waits for the acknowledgement of all routers.
    """
    view = make_view()
    view.handle(
        status_events.StatusesRead((make_status("c"), make_status("d"))), 1.0
    )
    effects = view.handle(
        status_events.StatusReceived(make_status("b", 7)), 2.0
    )
    assert acknowledged_deaths(effects) == ["b#2"]


def test_restart_after_a_drain_is_no_death():
    """Guards against a recovery after each clean restart."""
    view = make_view()
    view.handle(status_events.StatusDeleted("b"), 1.0)
    effects = view.handle(
        status_events.StatusReceived(make_status("b", 7)), 2.0
    )
    assert acknowledged_deaths(effects) == []


def test_reported_death_is_acknowledged_if_consistent_with_observations():
    """Guards against a wrong report that all routers adopt."""
    report = status_events.StatusReceived(make_status("c", deaths=("b#2",)))
    view = make_view()
    assert acknowledged_deaths(view.handle(report, 1.0)) == []
    view.handle(probe_events.PeerMessageReceived("b#2", State.READY), 2.0)
    view.handle(list_read("a", "c", "d"), 3.0)
    assert acknowledged_deaths(view.handle(report, 31.0)) == []
    assert acknowledged_deaths(view.handle(report, 32.0)) == ["b#2"]


def test_missing_acknowledgements_name_each_router_not_dead():
    """Guards against reclaiming grants while a router accepts their holder."""
    view = make_view()
    simulate_failed_probes(view, 31, "acd")
    assert view.missing_acknowledgements("b#2") == ("c", "d")
    for name in "cd":
        other = make_status(name, deaths=("b#2",))
        view.handle(status_events.StatusReceived(other), 40.0)
    assert view.missing_acknowledgements("b#2") == ()


@pytest.mark.parametrize(
    "other", [make_status("a", 9), make_status("c", deaths=("a#1",))]
)
def test_router_that_others_consider_dead_stops(other):
    """Guards against spending from reclaimed grants."""
    effects = make_view().handle(status_events.StatusReceived(other), 1.0)
    assert isinstance(effects[0], death_effects.StopSuperseded)


def test_leaving_backend_server_is_reported_once():
    """Guards against new work for a backend server about to be removed."""
    view = make_view()
    view.handle(list_read("a", "b", "c", "d", "engine-1", "engine-2"), 1.0)
    read = list_read("a", "b", "c", "d", "engine-1", leaving=["engine-1"])
    assert view.handle(read, 2.0) == [
        death_effects.InstanceLeaving("engine-1", listed=True),
        death_effects.InstanceLeaving("engine-2", listed=False),
    ]
    assert view.handle(read, 3.0) == []
