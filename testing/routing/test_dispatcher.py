"""Tests of the basic sequences of events and effects."""

from __future__ import annotations

from jasminetally._routing import effects
from jasminetally._routing import events
from jasminetally._routing import failure_kind
from jasminetally._routing import outcome

Kind = failure_kind.FailureKind
Outcome = outcome.Outcome


def test_whole_answer_is_delivered_in_order(harness, single_effect):
    """Guards against a request that never ends."""
    start = single_effect(harness.submit(), effects.StartAttempt)
    assert harness.chunk(start, 0) == [effects.DeliverChunk("q1", 0)]
    assert harness.chunk(start, 1, last=True) == [
        effects.DeliverChunk("q1", 1),
        effects.CompleteRequest("q1"),
    ]
    assert harness.dispatcher.in_progress == 0


def test_request_refused_by_its_server_runs_on_another(harness, single_effect):
    """Guards against a needless refusal of the caller."""
    start = single_effect(harness.submit(), effects.StartAttempt)
    again = single_effect(
        harness.fail(start, Kind.REFUSED), effects.StartAttempt
    )
    assert again.server != start.server


def test_request_without_a_server_is_refused_as_not_run(
    make_harness, single_effect
):
    """Guards against an endless wait when no server is known."""
    refused = single_effect(
        make_harness(servers=()).submit(), effects.RefuseRequest
    )
    assert refused.outcome is Outcome.NOT_RUN
    assert refused.retry_after_s > 0


def test_request_that_may_not_be_repeated_is_claimed_first(
    harness, single_effect
):
    """Guards against bytes sent before the claim is durable."""
    found = harness.submit(repeatable=False)
    claim = single_effect(found, effects.ClaimServer)
    assert len(found) == 1
    start = single_effect(
        harness.handle(events.ServerClaimed("q1")), effects.StartAttempt
    )
    assert start.server == claim.server
    assert start.stream == "q1"


def test_request_without_a_claim_is_refused_as_not_run(harness, single_effect):
    """Guards against a run whose claim was not written."""
    harness.submit(repeatable=False)
    refused = single_effect(
        harness.handle(events.ClaimFailed("q1", 3.0)), effects.RefuseRequest
    )
    assert refused.outcome is Outcome.NOT_RUN
    assert refused.retry_after_s == 3.0


def test_request_claimed_earlier_is_only_resumed(harness, single_effect):
    """Guards against a second run after the first router died."""
    harness.submit(repeatable=False)
    resume = single_effect(
        harness.handle(events.ClaimExists("q1", "s9")), effects.ResumeAttempt
    )
    assert (resume.server, resume.stream, resume.from_index) == ("s9", "q1", 0)
    refused = single_effect(
        harness.fail(resume, Kind.REFUSED), effects.RefuseRequest
    )
    assert refused.outcome is Outcome.UNKNOWN
