"""Tests of draining and restarted servers while the instance list lags."""

from __future__ import annotations

import pytest

from jasminetally._routing import effects
from jasminetally._routing import events
from jasminetally._routing import failure_kind

Kind = failure_kind.FailureKind


def chosen_servers(harness, single_effect, number=20):
    """Return the servers chosen for a number of new requests."""
    return {
        single_effect(harness.submit(), effects.StartAttempt).server
        for _ in range(number)
    }


def test_draining_server_gets_no_requests_although_the_list_lags(
    harness, single_effect
):
    """Guards against availability that is decided by the list alone."""
    harness.handle(events.ServerDraining("s1"))
    harness.list_server("s1")
    assert chosen_servers(harness, single_effect) == {"s2"}


@pytest.mark.parametrize("kind", [Kind.REFUSED, Kind.CONNECT])
def test_refusal_or_closed_port_stops_new_requests(
    harness, kind, single_effect
):
    """Guards against more requests to a server that refuses them."""
    start = single_effect(harness.submit(), effects.StartAttempt)
    harness.fail(start, kind, bytes_sent=False)
    harness.list_server(start.server)
    assert start.server not in chosen_servers(harness, single_effect)


def test_draining_server_keeps_its_streams(harness, single_effect):
    """Guards against a stream broken by a graceful shutdown."""
    start = single_effect(harness.submit(), effects.StartAttempt)
    assert harness.handle(events.ServerDraining(start.server)) == []
    assert harness.handle(events.ServerUnlisted(start.server)) == []
    assert harness.chunk(start, 0, last=True)[-1] == (
        effects.CompleteRequest("q1")
    )


def test_new_incarnation_gets_requests_again(harness, single_effect):
    """Guards against a restarted server that stays unused."""
    harness.handle(events.ServerDraining("s1"))
    harness.handle(events.ServerDraining("s2"))
    harness.list_server("s1", incarnation="2")
    assert chosen_servers(harness, single_effect) == {"s1"}


def test_failed_server_gets_one_request_at_a_time(make_harness, single_effect):
    """Guards against a burst of requests to a server that may still fail."""
    harness = make_harness(servers=("s1",))
    start = single_effect(harness.submit(), effects.StartAttempt)
    harness.fail(start, Kind.CONNECT, bytes_sent=False)
    harness.submit()
    found = harness.tick(1.0)
    probe = single_effect(found, effects.StartAttempt)
    found = harness.chunk(probe, 0)
    assert effects.StartAttempt not in [type(e) for e in found]
    single_effect(harness.tick(), effects.StartAttempt)


def test_new_number_of_slots_takes_effect(make_harness, single_effect):
    """Guards against a manifest change that takes effect only on restart."""
    harness = make_harness(servers=())
    harness.list_server("s1", slots=1)
    single_effect(harness.submit(), effects.StartAttempt)
    assert harness.submit() == []
    found = harness.list_server("s1", slots=2)
    assert single_effect(found, effects.StartAttempt).request == "q2"
