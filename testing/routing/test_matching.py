"""Tests of the match between answers and attempts."""

from __future__ import annotations

import pytest

from jasminetally._routing import effects
from jasminetally._routing import events
from jasminetally._routing import failure_kind

Kind = failure_kind.FailureKind


def kinds(found):
    return [type(effect) for effect in found]


@pytest.fixture
def two(harness, only):
    """Start two requests; return their starts."""
    return [only(harness.submit(), effects.StartAttempt) for _ in range(2)]


def test_answer_of_another_request_reaches_no_caller(harness, two, only):
    """Guards against a guest who reads another guest's complaint."""
    first, second = two
    found = harness.chunk(first, echoed=second.attempt)
    assert effects.DeliverChunk not in kinds(found)
    assert effects.CloseConnection(first.attempt) in found
    resume = only(found, effects.ResumeAttempt)
    assert harness.chunk(resume, 0, last=True)[-1] == (
        effects.CompleteRequest("q1")
    )
    assert harness.chunk(second, 0, last=True)[-1] == (
        effects.CompleteRequest("q2")
    )


@pytest.mark.parametrize("index", [0, 2])
def test_chunk_out_of_order_is_dropped(harness, two, index, only):
    """Guards against duplicated or missing text in an answer."""
    harness.chunk(two[0], 0)
    found = harness.chunk(two[0], index)
    assert effects.DeliverChunk not in kinds(found)
    assert effects.CloseConnection(two[0].attempt) in found
    assert only(found, effects.ResumeAttempt).from_index == 1


def test_late_answer_of_a_replaced_attempt_is_dropped(harness, two, only):
    """Guards against two answers spliced together."""
    again = only(harness.fail(two[0], Kind.REFUSED), effects.StartAttempt)
    assert harness.chunk(two[0]) == [effects.CloseConnection(two[0].attempt)]
    assert harness.chunk(again) == [effects.DeliverChunk("q1", 0)]


def test_chunk_after_the_last_one_is_dropped(harness, two):
    """Guards against the reuse of a connection that holds unread data."""
    harness.chunk(two[0], 0, last=True)
    assert harness.chunk(two[0], 1) == [effects.CloseConnection(two[0].attempt)]


def test_connection_of_an_abandoned_request_is_closed(harness, two):
    """Guards against the reuse of a connection with an answer on its way."""
    harness.handle(events.CallerDisconnected("q1"))
    assert harness.fail(two[0], Kind.RESET) == [
        effects.CloseConnection(two[0].attempt)
    ]


@pytest.mark.parametrize("broken_at", range(4))
def test_resume_loses_and_doubles_no_chunk(harness, two, broken_at, only):
    """Guards against a gap or a repetition after a broken connection."""
    attempt = two[0]
    delivered = []
    for index in range(4):
        if index == broken_at:
            resume = only(
                harness.fail(attempt, Kind.RESET), effects.ResumeAttempt
            )
            assert resume.from_index == index
            assert resume.stream == two[0].stream
            assert harness.chunk(attempt, index) == [
                effects.CloseConnection(attempt.attempt)
            ]
            attempt = resume
        found = harness.chunk(attempt, index, last=index == 3)
        delivered += [
            e.index for e in found if isinstance(e, effects.DeliverChunk)
        ]
    assert delivered == [0, 1, 2, 3]


def test_stream_seen_in_part_is_not_replaced_by_another_run(harness, only):
    """Guards against the head of one answer with the tail of another."""
    start = only(harness.submit(streamed=True), effects.StartAttempt)
    harness.chunk(start, 0)
    found = harness.fail(start, Kind.CRASHED)
    assert only(found, effects.RefuseRequest).code == "stream_broken"


def test_answer_not_yet_seen_is_replaced_by_another_run(harness, only):
    """Guards against a lost request where a second run is harmless."""
    start = only(harness.submit(), effects.StartAttempt)
    harness.chunk(start, 0)
    found = harness.fail(start, Kind.CRASHED)
    asked = only(
        [e for e in found if isinstance(e, effects.BroadcastSuspicions)][-1:],
        effects.BroadcastSuspicions,
    )
    found = harness.handle(events.BroadcastFinished(asked.broadcast, True))
    again = only(found, effects.StartAttempt)
    assert harness.chunk(again, 0) == [effects.DeliverChunk("q1", 0)]
