"""Tests of servers that leave while the instance list lags."""

from __future__ import annotations

import pytest

from jasminetally._routing import effects
from jasminetally._routing import events
from jasminetally._routing import failure_kind

Kind = failure_kind.FailureKind


def servers_of(harness, only, number=20):
    """Return the servers that get new requests."""
    return {
        only(harness.submit(), effects.StartAttempt).server
        for _ in range(number)
    }


def test_leaving_server_gets_no_new_work_although_the_list_lags(harness, only):
    """Guards against membership taken from the list alone."""
    harness.handle(events.ServerDraining("s1"))
    harness.see("s1")
    assert servers_of(harness, only) == {"s2"}


@pytest.mark.parametrize("kind", [Kind.REFUSED, Kind.CONNECT])
def test_refusal_or_closed_port_stops_new_work(harness, kind, only):
    """Guards against requests sent to a server that turns them away."""
    start = only(harness.submit(), effects.StartAttempt)
    harness.fail(start, kind, bytes_sent=False)
    harness.see(start.server)
    assert start.server not in servers_of(harness, only)


def test_leaving_server_keeps_its_streams(harness, only):
    """Guards against a request cut off by a graceful shutdown."""
    start = only(harness.submit(), effects.StartAttempt)
    assert harness.handle(events.ServerDraining(start.server)) == []
    assert harness.handle(events.ServerUnlisted(start.server)) == []
    assert harness.chunk(start, 0, last=True)[-1] == (
        effects.CompleteRequest("q1")
    )


def test_new_incarnation_gets_work_again(harness, only):
    """Guards against capacity lost after a restart."""
    harness.handle(events.ServerDraining("s1"))
    harness.handle(events.ServerDraining("s2"))
    harness.see("s1", incarnation="2")
    assert servers_of(harness, only) == {"s1"}


def test_server_on_probation_gets_one_request_at_a_time(make_harness, only):
    """Guards against a burst to a server that may still refuse."""
    harness = make_harness(servers=("s1",))
    start = only(harness.submit(), effects.StartAttempt)
    harness.fail(start, Kind.CONNECT, bytes_sent=False)
    harness.submit()
    found = harness.tick(1.0)
    probe = only(found, effects.StartAttempt)
    found = harness.chunk(probe, 0)
    assert effects.StartAttempt not in [type(e) for e in found]
    only(harness.tick(), effects.StartAttempt)


def test_new_number_of_slots_takes_effect(make_harness, only):
    """Guards against a manifest change that needs a restart."""
    harness = make_harness(servers=())
    harness.see("s1", slots=1)
    only(harness.submit(), effects.StartAttempt)
    assert harness.submit() == []
    found = harness.see("s1", slots=2)
    assert only(found, effects.StartAttempt).request == "q2"
