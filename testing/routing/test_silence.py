"""Tests of the detection of silent connections."""

from __future__ import annotations

import pytest

from jasminetally._routing import effects
from jasminetally._routing import events
from jasminetally._routing import failure_kind

Kind = failure_kind.FailureKind


@pytest.fixture
def streams(make_harness, single_effect):
    """Open three streams to one server; return harness and start effects."""
    harness = make_harness(servers=("s1",))
    starts = [
        single_effect(harness.submit(), effects.StartAttempt) for _ in range(3)
    ]
    for start in starts:
        harness.chunk(start, 0)
    return harness, starts


def test_silent_stream_is_resumed_on_a_new_connection(streams, single_effect):
    """Guards against a server that is avoided after one dead connection."""
    harness, starts = streams
    for _ in range(4):
        harness.now_s += 0.4
        harness.chunk(starts[1], int(harness.now_s / 0.4 + 0.5))
        harness.chunk(starts[2], int(harness.now_s / 0.4 + 0.5))
    found = harness.tick(0.41)
    assert effects.CloseIdleConnections("s1") in found
    assert effects.CloseConnection(starts[0].attempt) in found
    resume = single_effect(found, effects.ResumeAttempt)
    assert (resume.server, resume.from_index) == ("s1", 1)
    assert harness.chunk(resume, 1)[0] == effects.DeliverChunk("q1", 1)


def test_silent_connection_reduces_the_timeouts_of_the_others(
    streams, single_effect
):
    """Guards against waiting the full idle timeout for each dead connection."""
    harness, starts = streams
    harness.now_s += 1.0
    harness.chunk(starts[1], 1)
    harness.chunk(starts[2], 1)
    single_effect(harness.tick(1.0), effects.ResumeAttempt)
    harness.now_s += 0.1
    harness.chunk(starts[1], 2)
    found = harness.tick(0.0)
    resume = single_effect(found, effects.ResumeAttempt)
    assert resume.request == "q3"


def test_new_request_uses_a_new_connection_after_a_silence(
    streams, single_effect
):
    """Guards against new requests on dead pooled connections."""
    harness, _ = streams
    harness.tick(2.0)
    start = single_effect(harness.submit(), effects.StartAttempt)
    assert (start.server, start.fresh_connection) == ("s1", True)


def test_server_is_avoided_when_a_new_connection_is_silent(
    make_harness, single_effect
):
    """Guards against endless resumes to a server that hangs."""
    harness = make_harness(servers=("s1", "s2"))
    start = single_effect(harness.submit(), effects.StartAttempt)
    harness.chunk(start, 0)
    silent = single_effect(harness.tick(2.0), effects.ResumeAttempt)
    assert silent.server == start.server
    harness.tick(0.9)
    again = single_effect(harness.tick(0.2), effects.StartAttempt)
    assert again.server != start.server
    assert again.fresh_connection
    for _ in range(5):
        other = single_effect(harness.submit(), effects.StartAttempt)
        assert other.server != start.server


def test_server_stays_in_use_when_the_new_connection_works(
    streams, single_effect
):
    """Guards against a server that stays unused after one dead connection."""
    harness, _ = streams
    for effect in harness.tick(2.0):
        if isinstance(effect, effects.ResumeAttempt):
            harness.chunk(effect, 1)
    assert single_effect(harness.submit(), effects.StartAttempt).server == "s1"


def test_unacknowledged_request_is_soon_sent_again(make_harness, single_effect):
    """Guards against a long wait after a send on a dead pooled connection."""
    harness = make_harness(servers=("s1",))
    first = single_effect(harness.submit(), effects.StartAttempt)
    harness.handle(events.AttemptAcknowledged(first.attempt))
    harness.submit()
    resume = single_effect(harness.tick(0.5), effects.ResumeAttempt)
    found = harness.fail(resume, Kind.REFUSED)
    again = single_effect(found, effects.StartAttempt)
    assert (again.request, again.fresh_connection) == ("q2", True)


def test_server_without_acknowledgements_is_not_treated_as_silent(
    harness, single_effect
):
    """Guards against resumes on servers that never acknowledge requests."""
    start = single_effect(harness.submit(), effects.StartAttempt)
    assert harness.tick(2.0) == []
    assert harness.chunk(start, 0) == [effects.DeliverChunk("q1", 0)]


def test_request_that_may_not_be_repeated_gets_a_new_connection(
    harness, single_effect
):
    """Guards against an unknown outcome because of a dead connection."""
    harness.submit(repeatable=False)
    found = harness.handle(events.ServerClaimed("q1"))
    assert single_effect(found, effects.StartAttempt).fresh_connection


def test_request_that_its_server_still_queues_does_not_fail(
    make_harness, single_effect
):
    """Guards against unknown outcomes when an engine has a long queue."""
    harness = make_harness(servers=("s1",))
    harness.submit(repeatable=False, deadline_s=60.0)
    start = single_effect(
        harness.handle(events.ServerClaimed("q1")), effects.StartAttempt
    )
    for _ in range(8):
        start = single_effect(harness.tick(3.0), effects.ResumeAttempt)
        harness.handle(events.AttemptAcknowledged(start.attempt))
    assert harness.chunk(start, 0) == [effects.DeliverChunk("q1", 0)]
