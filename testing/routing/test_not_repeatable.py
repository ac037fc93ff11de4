"""Tests of requests that may not be repeated."""

from __future__ import annotations

import pytest

from jasminetally._routing import effects
from jasminetally._routing import events
from jasminetally._routing import failure_kind
from jasminetally._routing import outcome

Kind = failure_kind.FailureKind
Outcome = outcome.Outcome
RUN_EFFECTS = (effects.StartAttempt, effects.ClaimServer)


@pytest.fixture
def started(harness, single_effect):
    """Start a request that may not be repeated; return its start effect."""
    harness.submit(repeatable=False)
    return single_effect(
        harness.handle(events.ServerClaimed("q1")), effects.StartAttempt
    )


def fail_resumes(harness, found, kind, single_effect):
    """Fail every resume in the same way; return all effects."""
    all_effects = list(found)
    for _ in range(20):
        for effect in found:
            if isinstance(effect, effects.RefuseRequest):
                return all_effects
        found = [
            after
            for effect in found
            if isinstance(effect, effects.ResumeAttempt)
            for after in harness.fail(effect, kind)
        ]
        found += harness.tick(0.5)
        all_effects += found
    pytest.fail("the request did not end")


@pytest.mark.parametrize(
    "kind", [Kind.RESET, Kind.CRASHED, Kind.SILENT, Kind.WRONG_ID]
)
def test_no_second_run_after_bytes_were_sent(
    harness, started, kind, single_effect
):
    """Guards against an action that is carried out twice."""
    all_effects = fail_resumes(
        harness, harness.fail(started, kind), kind, single_effect
    )
    assert not any(isinstance(effect, RUN_EFFECTS) for effect in all_effects)
    assert (
        single_effect(all_effects, effects.RefuseRequest).outcome
        is Outcome.UNKNOWN
    )


@pytest.mark.parametrize(
    ("kind", "bytes_sent"), [(Kind.CONNECT, False), (Kind.REFUSED, True)]
)
def test_second_server_is_claimed_anew(
    harness, started, kind, bytes_sent, single_effect
):
    """Guards against a run on a server that the claim does not name."""
    found = harness.fail(started, kind, bytes_sent=bytes_sent)
    release = single_effect(found, effects.ReleaseClaim)
    claim = single_effect(found, effects.ClaimServer)
    assert found.index(release) < found.index(claim)
    assert release.server == started.server != claim.server


def test_refusal_by_every_server_is_reported_as_not_run(
    make_harness, single_effect
):
    """Guards against an unknown outcome although nothing can have run."""
    harness = make_harness(servers=("s1",))
    harness.submit(repeatable=False, deadline_s=3.0)
    start = single_effect(
        harness.handle(events.ServerClaimed("q1")), effects.StartAttempt
    )
    harness.fail(start, Kind.REFUSED)
    refused = single_effect(harness.tick(3.0), effects.RefuseRequest)
    assert refused.outcome is Outcome.NOT_RUN


def test_refusal_after_accepted_bytes_is_not_reported_as_not_run(
    harness, started, single_effect
):
    """Guards against "not run" for a request that a server acknowledged."""
    harness.handle(events.AttemptAcknowledged(started.attempt))
    found = harness.fail(started, Kind.CRASHED, bytes_sent=False)
    assert (
        single_effect(found, effects.RefuseRequest).outcome is Outcome.UNKNOWN
    )


def test_unknown_stream_is_not_taken_for_a_refusal(
    harness, started, single_effect
):
    """Guards against a second run while the first may still start."""
    resume = single_effect(
        harness.fail(started, Kind.RESET), effects.ResumeAttempt
    )
    found = harness.fail(resume, Kind.REFUSED)
    assert (
        single_effect(found, effects.RefuseRequest).outcome is Outcome.UNKNOWN
    )


def test_request_continues_when_its_caller_has_disconnected(
    harness, started, single_effect
):
    """Guards against work that is left half done."""
    assert harness.handle(events.CallerDisconnected("q1")) == []
    assert harness.chunk(started, 0, last=True) == [
        effects.CompleteRequest("q1")
    ]


def test_repeatable_request_is_cancelled_when_its_caller_disconnects(
    harness, single_effect
):
    """Guards against tokens spent on an answer that nobody reads."""
    start = single_effect(harness.submit(), effects.StartAttempt)
    found = harness.handle(events.CallerDisconnected("q1"))
    cancel = single_effect(found, effects.CancelAttempt)
    assert (cancel.attempt, cancel.server) == (start.attempt, start.server)
    assert harness.chunk(start) == [effects.CloseConnection(start.attempt)]
    assert harness.dispatcher.in_progress == 0


def test_claim_for_a_draining_server_is_released(harness, single_effect):
    """Guards against a new request to a draining server."""
    claim = single_effect(harness.submit(repeatable=False), effects.ClaimServer)
    harness.handle(events.ServerDraining(claim.server))
    found = harness.handle(events.ServerClaimed("q1"))
    assert single_effect(found, effects.ReleaseClaim).server == claim.server
    assert single_effect(found, effects.ClaimServer).server != claim.server


def test_call_to_a_service_is_not_resumed(harness, single_effect):
    """Guards against a resume sent to a service, which has no streams."""
    harness.list_server("p1", kind="service", model="board")
    harness.submit(repeatable=False, kind="service", model="board")
    start = single_effect(
        harness.handle(events.ServerClaimed("q1")), effects.StartAttempt
    )
    found = harness.fail(start, Kind.RESET)
    assert (
        single_effect(found, effects.RefuseRequest).outcome is Outcome.UNKNOWN
    )
