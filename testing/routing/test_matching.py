"""Tests of the matching of chunks to attempts."""

from __future__ import annotations

import pytest

from jasminetally._routing import effects
from jasminetally._routing import events
from jasminetally._routing import failure_kind

Kind = failure_kind.FailureKind


def effect_types(found):
    return [type(effect) for effect in found]


@pytest.fixture
def two_starts(harness, single_effect):
    """Start two requests; return their start effects."""
    return [
        single_effect(harness.submit(), effects.StartAttempt) for _ in range(2)
    ]


def test_answer_of_another_request_reaches_no_caller(
    harness, two_starts, single_effect
):
    """Guards against an answer that is delivered to the wrong caller."""
    first, second = two_starts
    found = harness.chunk(first, echoed=second.attempt)
    assert effects.DeliverChunk not in effect_types(found)
    assert effects.CloseConnection(first.attempt) in found
    resume = single_effect(found, effects.ResumeAttempt)
    assert harness.chunk(resume, 0, last=True)[-1] == (
        effects.CompleteRequest("q1")
    )
    assert harness.chunk(second, 0, last=True)[-1] == (
        effects.CompleteRequest("q2")
    )


@pytest.mark.parametrize("index", [0, 2])
def test_chunk_out_of_order_is_dropped(
    harness, two_starts, index, single_effect
):
    """Guards against repeated or missing text in an answer."""
    harness.chunk(two_starts[0], 0)
    found = harness.chunk(two_starts[0], index)
    assert effects.DeliverChunk not in effect_types(found)
    assert effects.CloseConnection(two_starts[0].attempt) in found
    assert single_effect(found, effects.ResumeAttempt).from_index == 1


def test_late_answer_of_a_replaced_attempt_is_dropped(
    harness, two_starts, single_effect
):
    """Guards against an answer that mixes the chunks of two runs."""
    again = single_effect(
        harness.fail(two_starts[0], Kind.REFUSED), effects.StartAttempt
    )
    assert harness.chunk(two_starts[0]) == [
        effects.CloseConnection(two_starts[0].attempt)
    ]
    assert harness.chunk(again) == [effects.DeliverChunk("q1", 0)]


def test_chunk_after_the_last_one_is_dropped(harness, two_starts):
    """Guards against reuse of a connection with unread data."""
    harness.chunk(two_starts[0], 0, last=True)
    assert harness.chunk(two_starts[0], 1) == [
        effects.CloseConnection(two_starts[0].attempt)
    ]


def test_connection_of_an_abandoned_request_is_closed(harness, two_starts):
    """Guards against reuse of a connection whose answer is still to come."""
    harness.handle(events.CallerDisconnected("q1"))
    assert harness.fail(two_starts[0], Kind.RESET) == [
        effects.CloseConnection(two_starts[0].attempt)
    ]


@pytest.mark.parametrize("broken_at", range(4))
def test_resume_neither_loses_nor_repeats_a_chunk(
    harness, two_starts, broken_at, single_effect
):
    """Guards against lost or repeated chunks after a broken connection."""
    attempt = two_starts[0]
    delivered = []
    for index in range(4):
        if index == broken_at:
            resume = single_effect(
                harness.fail(attempt, Kind.RESET), effects.ResumeAttempt
            )
            assert resume.from_index == index
            assert resume.stream == two_starts[0].stream
            assert harness.chunk(attempt, index) == [
                effects.CloseConnection(attempt.attempt)
            ]
            attempt = resume
        found = harness.chunk(attempt, index, last=index == 3)
        delivered += [
            e.index for e in found if isinstance(e, effects.DeliverChunk)
        ]
    assert delivered == [0, 1, 2, 3]


def test_stream_seen_in_part_is_not_replaced_by_another_run(
    harness, single_effect
):
    """Guards against a stream that mixes the answers of two runs."""
    start = single_effect(harness.submit(streamed=True), effects.StartAttempt)
    harness.chunk(start, 0)
    found = harness.fail(start, Kind.CRASHED)
    assert single_effect(found, effects.RefuseRequest).code == "stream_broken"


def test_answer_not_yet_seen_is_replaced_by_another_run(harness, single_effect):
    """Guards against a refusal where another run is harmless."""
    start = single_effect(harness.submit(), effects.StartAttempt)
    harness.chunk(start, 0)
    found = harness.fail(start, Kind.CRASHED)
    asked = single_effect(
        [e for e in found if isinstance(e, effects.BroadcastSuspicions)][-1:],
        effects.BroadcastSuspicions,
    )
    found = harness.handle(events.BroadcastFinished(asked.broadcast, True))
    again = single_effect(found, effects.StartAttempt)
    assert harness.chunk(again, 0) == [effects.DeliverChunk("q1", 0)]
