"""Tests of admission, tiers, the queue and the retry budget."""

from __future__ import annotations

import pytest

from jasminetally._routing import effects
from jasminetally._routing import events
from jasminetally._routing import failure_kind
from jasminetally._routing import outcome

Kind = failure_kind.FailureKind
Outcome = outcome.Outcome


@pytest.fixture
def full_harness(make_harness, single_effect):
    """Return a harness whose only slot is taken, and the start that took it."""
    harness = make_harness(servers=("s1",), default_slots=1)
    return harness, single_effect(harness.submit(), effects.StartAttempt)


def test_request_that_cannot_finish_in_time_is_refused_at_once(
    harness, single_effect
):
    """Guards against a late answer where the caller could retry elsewhere."""
    found = harness.submit(max_tokens=5000, deadline_s=5.0)
    refused = single_effect(found, effects.RefuseRequest)
    assert refused.outcome is Outcome.NOT_RUN
    assert refused.retry_after_s > 0


def test_request_behind_too_much_work_is_refused_at_once(
    full_harness, single_effect
):
    """Guards against a queue that is longer than the deadlines allow."""
    harness, _ = full_harness
    for _ in range(100):
        found = harness.submit(deadline_s=5.0)
        if found:
            break
    assert single_effect(found, effects.RefuseRequest).code == "overloaded"
    assert 0 < harness.dispatcher.waiting < 20


def test_longer_wait_gives_a_longer_retry_after_time(
    make_harness, single_effect
):
    """Guards against callers that retry while the servers are still full."""
    waits = []
    for limit_s in (5.0, 30.0):
        harness = make_harness(servers=("s1",), default_slots=1)
        harness.submit()
        while not (found := harness.submit(deadline_s=limit_s)):
            pass
        waits.append(single_effect(found, effects.RefuseRequest).retry_after_s)
    assert waits[0] < waits[1]


def test_waiting_request_is_refused_when_it_can_no_longer_finish(
    full_harness, single_effect
):
    """Guards against a caller that waits in vain until its deadline."""
    harness, _ = full_harness
    assert harness.submit(deadline_s=5.0) == []
    assert harness.tick(1.0) == []
    refused = single_effect(harness.tick(3.5), effects.RefuseRequest)
    assert (refused.request, refused.outcome) == ("q2", Outcome.NOT_RUN)


def test_live_tiers_go_before_overnight_ones(full_harness, single_effect):
    """Guards against a live request that waits behind overnight work."""
    harness, start = full_harness
    harness.submit(tier="overnight", deadline_s=9999.0)
    harness.submit(tier="standard")
    harness.submit(tier="live")
    order = []
    for _ in range(3):
        found = harness.chunk(start, 0, last=True)
        start = single_effect(found, effects.StartAttempt)
        order.append(start.request)
    assert order == ["q4", "q3", "q2"]


def test_priority_for_the_engine_follows_the_tier(harness, single_effect):
    """Guards against engines that schedule all tiers alike."""
    found = [
        single_effect(
            harness.submit(tier=tier, deadline_s=9999.0), effects.StartAttempt
        ).priority
        for tier in ("live", "standard", "overnight")
    ]
    assert found == sorted(found)
    assert found[0] < found[2]


def test_overnight_work_finishes_under_steady_live_load(
    full_harness, single_effect
):
    """Guards against starvation of overnight work."""
    harness, start = full_harness
    harness.submit(tier="overnight", deadline_s=100_000.0)
    for _ in range(600):
        harness.submit(tier="standard")
        harness.now_s += 1.0
        found = harness.chunk(start, 0, last=True)
        found += harness.tick()
        start = single_effect(found, effects.StartAttempt)
        if start.request == "q2":
            return
    pytest.fail("overnight request did not start")


def test_overnight_work_leaves_slots_for_live_requests(
    make_harness, single_effect
):
    """Guards against live requests that wait for long overnight requests."""
    harness = make_harness(servers=("s1",), default_slots=4)
    for _ in range(6):
        harness.submit(tier="overnight", deadline_s=9999.0)
    assert harness.dispatcher.waiting == 4
    single_effect(harness.submit(tier="live"), effects.StartAttempt)


def test_earliest_deadline_goes_first_within_a_tier(
    full_harness, single_effect
):
    """Guards against a late answer because another request went first."""
    harness, start = full_harness
    harness.submit(deadline_s=50.0)
    harness.submit(deadline_s=20.0)
    found = harness.chunk(start, 0, last=True)
    assert single_effect(found, effects.StartAttempt).request == "q3"


@pytest.mark.parametrize("kind", [Kind.REFUSED, Kind.CONNECT, Kind.RESET])
def test_retry_budget_limits_retries_when_all_attempts_fail(make_harness, kind):
    """Guards against retries that multiply the load when servers fail."""
    harness = make_harness(
        servers=[f"s{number}" for number in range(50)], max_resumes=0
    )
    starts = 0
    for _ in range(1000):
        found = harness.submit()
        while found:
            begun = [e for e in found if isinstance(e, effects.StartAttempt)]
            starts += len(begun)
            assert starts <= 1100
            found = []
            for start in begun:
                found += harness.fail(start, kind)
        harness.tick(0.05)


def test_retry_waits_for_the_budget(make_harness, single_effect):
    """Guards against a refusal where a later retry would succeed."""
    harness = make_harness(min_retries=0, retry_ratio=0.5)
    start = single_effect(harness.submit(), effects.StartAttempt)
    found = harness.fail(start, Kind.REFUSED)
    assert not any(isinstance(e, effects.StartAttempt) for e in found)
    found = harness.submit()
    assert [
        e.request for e in found if isinstance(e, effects.StartAttempt)
    ] == ["q1", "q2"]


def test_retry_without_budget_ends_before_the_deadline(
    make_harness, single_effect
):
    """Guards against a request that is neither answered nor refused."""
    harness = make_harness(min_retries=0)
    start = single_effect(harness.submit(deadline_s=3.0), effects.StartAttempt)
    harness.fail(start, Kind.CONNECT, bytes_sent=False)
    refused = single_effect(harness.tick(3.0), effects.RefuseRequest)
    assert refused.outcome is Outcome.NOT_RUN


def test_time_model_follows_a_slow_server(make_harness, single_effect):
    """Guards against late answers from a server slower than assumed."""
    harness = make_harness(servers=("s1",))
    start = single_effect(harness.submit(max_tokens=500), effects.StartAttempt)
    for index in range(200):
        harness.now_s += 0.2
        harness.chunk(start, index)
    found = harness.submit(deadline_s=harness.now_s + 5.0)
    assert (
        single_effect(found, effects.RefuseRequest).outcome is Outcome.NOT_RUN
    )


def test_event_about_an_unknown_server_is_ignored(harness):
    """Guards against a failure if a report arrives before the list."""
    assert harness.handle(events.LoadReport("s9", 1, 0, 0.1, 0.0)) == []
    assert harness.handle(events.CacheEvent("s9", "p", True)) == []
    assert harness.handle(events.ServerDraining("s9")) == []


def test_admitted_request_runs_again_close_to_its_deadline(
    harness, single_effect
):
    """Guards against the loss of an admitted request to the time margin."""
    start = single_effect(
        harness.submit(max_tokens=100, deadline_s=5.0), effects.StartAttempt
    )
    harness.now_s = 4.0
    resume = single_effect(
        harness.fail(start, Kind.RESET), effects.ResumeAttempt
    )
    found = harness.fail(resume, Kind.SILENT)
    assert single_effect(found, effects.StartAttempt).request == "q1"


def test_overnight_prompts_do_not_accumulate_on_a_server(
    make_harness, single_effect
):
    """Guards against a server that only processes prompts for seconds."""
    harness = make_harness(servers=("s1",))
    for _ in range(3):
        harness.submit(tier="overnight", prompt_tokens=2000, deadline_s=9999.0)
    assert harness.dispatcher.waiting == 1
    single_effect(harness.submit(), effects.StartAttempt)


def test_overnight_work_pauses_while_live_requests_are_refused(
    make_harness, single_effect
):
    """Guards against live refusals while overnight work fills the servers."""
    harness = make_harness(
        servers=("s1",), default_slots=8, first_chunk_timeout_s=9.0
    )
    single_effect(harness.submit(), effects.StartAttempt)
    single_effect(
        harness.submit(max_tokens=5000, deadline_s=1.0), effects.RefuseRequest
    )
    assert harness.submit(tier="overnight", deadline_s=9999.0) == []
    single_effect(harness.submit(), effects.StartAttempt)
    started = harness.tick(4.0)
    assert single_effect(started, effects.StartAttempt).request == "q3"


def test_overnight_work_goes_first_when_half_of_its_time_has_passed(
    full_harness, single_effect
):
    """Guards against overnight work that ages too slowly to finish."""
    harness, start = full_harness
    harness.submit(tier="overnight", deadline_s=100.0)
    harness.now_s = 60.0
    harness.submit(tier="standard")
    found = harness.chunk(start, 0, last=True)
    assert single_effect(found, effects.StartAttempt).request == "q2"


def test_request_that_runs_again_may_use_all_slots(make_harness, single_effect):
    """Guards against an admitted request held back by its tier's slot share."""
    harness = make_harness(servers=("s1", "s2"), default_slots=4)
    starts = {}
    for _ in range(6):
        start = single_effect(
            harness.submit(tier="standard"), effects.StartAttempt
        )
        starts.setdefault(start.server, []).append(start)
    single_effect(
        harness.submit(max_tokens=5000, deadline_s=1.0), effects.RefuseRequest
    )
    assert harness.submit(tier="standard") == []
    failed = starts["s1"][0]
    resume = single_effect(
        harness.fail(failed, Kind.RESET), effects.ResumeAttempt
    )
    again = single_effect(
        harness.fail(resume, Kind.SILENT), effects.StartAttempt
    )
    assert (again.request, again.server) == (failed.request, "s2")
