"""Tests of admission, tiers and the queue."""

from __future__ import annotations

import pytest

from jasminetally._routing import effects
from jasminetally._routing import events
from jasminetally._routing import failure_kind
from jasminetally._routing import outcome

Kind = failure_kind.FailureKind
Outcome = outcome.Outcome


@pytest.fixture
def full(make_harness, only):
    """Return a harness whose only server has one slot, and its start."""
    harness = make_harness(servers=("s1",), default_slots=1)
    return harness, only(harness.submit(), effects.StartAttempt)


def test_request_that_cannot_finish_in_time_is_refused_at_once(harness, only):
    """Guards against a late answer where a refusal would have helped."""
    found = harness.submit(max_tokens=5000, deadline_s=5.0)
    refused = only(found, effects.RefuseRequest)
    assert refused.outcome is Outcome.NOT_RUN
    assert refused.retry_after_s > 0


def test_request_behind_too_much_work_is_refused_at_once(full, only):
    """Guards against a queue longer than the deadlines allow."""
    harness, _ = full
    for _ in range(100):
        found = harness.submit(deadline_s=5.0)
        if found:
            break
    assert only(found, effects.RefuseRequest).code == "overloaded"
    assert 0 < harness.dispatcher.waiting < 20


def test_longer_wait_gives_a_later_time_to_come_back(make_harness, only):
    """Guards against refused callers that return while all is still full."""
    waits = []
    for limit_s in (5.0, 30.0):
        harness = make_harness(servers=("s1",), default_slots=1)
        harness.submit()
        while not (found := harness.submit(deadline_s=limit_s)):
            pass
        waits.append(only(found, effects.RefuseRequest).retry_after_s)
    assert waits[0] < waits[1]


def test_waiting_request_is_refused_when_it_can_no_longer_finish(full, only):
    """Guards against a caller that waits for nothing until its deadline."""
    harness, _ = full
    assert harness.submit(deadline_s=5.0) == []
    assert harness.tick(1.0) == []
    refused = only(harness.tick(3.5), effects.RefuseRequest)
    assert (refused.request, refused.outcome) == ("q2", Outcome.NOT_RUN)


def test_live_tiers_go_before_overnight_ones(full, only):
    """Guards against a live request behind a catalogue reflow."""
    harness, start = full
    harness.submit(tier="overnight", deadline_s=9999.0)
    harness.submit(tier="standard")
    harness.submit(tier="live")
    order = []
    for _ in range(3):
        found = harness.chunk(start, 0, last=True)
        start = only(found, effects.StartAttempt)
        order.append(start.request)
    assert order == ["q4", "q3", "q2"]


def test_priority_for_the_engine_follows_the_tier(harness, only):
    """Guards against engines that cannot tell tiers apart."""
    found = [
        only(
            harness.submit(tier=tier, deadline_s=9999.0), effects.StartAttempt
        ).priority
        for tier in ("live", "standard", "overnight")
    ]
    assert found == sorted(found)
    assert found[0] < found[2]


def test_overnight_work_finishes_under_steady_live_load(full, only):
    """Guards against overnight work that starves."""
    harness, start = full
    harness.submit(tier="overnight", deadline_s=100_000.0)
    for _ in range(600):
        harness.submit(tier="standard")
        harness.now_s += 1.0
        found = harness.chunk(start, 0, last=True)
        found += harness.tick()
        start = only(found, effects.StartAttempt)
        if start.request == "q2":
            return
    pytest.fail("overnight request did not start")


def test_overnight_work_leaves_slots_for_live_requests(make_harness, only):
    """Guards against live requests that wait for a long reflow to end."""
    harness = make_harness(servers=("s1",), default_slots=4)
    for _ in range(6):
        harness.submit(tier="overnight", deadline_s=9999.0)
    assert harness.dispatcher.waiting == 4
    only(harness.submit(tier="live"), effects.StartAttempt)


def test_earliest_deadline_goes_first_within_a_tier(full, only):
    """Guards against a request that is late for one that could wait."""
    harness, start = full
    harness.submit(deadline_s=50.0)
    harness.submit(deadline_s=20.0)
    found = harness.chunk(start, 0, last=True)
    assert only(found, effects.StartAttempt).request == "q3"


@pytest.mark.parametrize("kind", [Kind.REFUSED, Kind.CONNECT, Kind.RESET])
def test_retry_budget_holds_under_a_storm_of_failures(make_harness, kind):
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


def test_retry_waits_for_the_budget(make_harness, only):
    """Guards against a lost request where a later retry would do."""
    harness = make_harness(min_retries=0, retry_ratio=0.5)
    start = only(harness.submit(), effects.StartAttempt)
    found = harness.fail(start, Kind.REFUSED)
    assert not any(isinstance(e, effects.StartAttempt) for e in found)
    found = harness.submit()
    assert [
        e.request for e in found if isinstance(e, effects.StartAttempt)
    ] == ["q1", "q2"]


def test_retry_without_budget_ends_before_the_deadline(make_harness, only):
    """Guards against a request without an answer."""
    harness = make_harness(min_retries=0)
    start = only(harness.submit(deadline_s=3.0), effects.StartAttempt)
    harness.fail(start, Kind.CONNECT, bytes_sent=False)
    refused = only(harness.tick(3.0), effects.RefuseRequest)
    assert refused.outcome is Outcome.NOT_RUN


def test_time_model_follows_a_slow_server(make_harness, only):
    """Guards against promises that a slow server does not keep."""
    harness = make_harness(servers=("s1",))
    start = only(harness.submit(max_tokens=500), effects.StartAttempt)
    for index in range(200):
        harness.now_s += 0.2
        harness.chunk(start, index)
    found = harness.submit(deadline_s=harness.now_s + 5.0)
    assert only(found, effects.RefuseRequest).outcome is Outcome.NOT_RUN


def test_load_event_of_an_unknown_server_is_ignored(harness):
    """Guards against a report that arrives before the list."""
    assert harness.handle(events.LoadReport("s9", 1, 0, 0.1, 0.0)) == []
    assert harness.handle(events.CacheEvent("s9", "p", True)) == []
    assert harness.handle(events.ServerDraining("s9")) == []


def test_accepted_request_runs_again_close_to_its_deadline(harness, only):
    """Guards against an accepted request lost for a margin in time."""
    start = only(
        harness.submit(max_tokens=100, deadline_s=5.0), effects.StartAttempt
    )
    harness.now_s = 4.0
    resume = only(harness.fail(start, Kind.RESET), effects.ResumeAttempt)
    found = harness.fail(resume, Kind.SILENT)
    assert only(found, effects.StartAttempt).request == "q1"


def test_overnight_prompts_do_not_pile_up_on_a_server(make_harness, only):
    """Guards against a server that reads prompts for seconds on end."""
    harness = make_harness(servers=("s1",))
    for _ in range(3):
        harness.submit(tier="overnight", prompt_tokens=2000, deadline_s=9999.0)
    assert harness.dispatcher.waiting == 1
    only(harness.submit(), effects.StartAttempt)


def test_overnight_work_pauses_while_live_requests_are_refused(
    make_harness, only
):
    """Guards against live refusals while reflows fill the servers."""
    harness = make_harness(
        servers=("s1",), default_slots=8, first_chunk_timeout_s=9.0
    )
    only(harness.submit(), effects.StartAttempt)
    only(harness.submit(max_tokens=5000, deadline_s=1.0), effects.RefuseRequest)
    assert harness.submit(tier="overnight", deadline_s=9999.0) == []
    only(harness.submit(), effects.StartAttempt)
    started = harness.tick(4.0)
    assert only(started, effects.StartAttempt).request == "q3"


def test_overnight_work_goes_first_when_half_of_its_time_has_passed(full, only):
    """Guards against overnight work that ages too slowly to finish."""
    harness, start = full
    harness.submit(tier="overnight", deadline_s=100.0)
    harness.now_s = 60.0
    harness.submit(tier="standard")
    found = harness.chunk(start, 0, last=True)
    assert only(found, effects.StartAttempt).request == "q2"


def test_request_that_runs_again_may_use_all_slots(make_harness, only):
    """Guards against accepted work that waits behind its tier's share."""
    harness = make_harness(servers=("s1", "s2"), default_slots=4)
    starts = {}
    for _ in range(6):
        start = only(harness.submit(tier="standard"), effects.StartAttempt)
        starts.setdefault(start.server, []).append(start)
    only(harness.submit(max_tokens=5000, deadline_s=1.0), effects.RefuseRequest)
    assert harness.submit(tier="standard") == []
    failed = starts["s1"][0]
    resume = only(harness.fail(failed, Kind.RESET), effects.ResumeAttempt)
    again = only(harness.fail(resume, Kind.SILENT), effects.StartAttempt)
    assert (again.request, again.server) == (failed.request, "s2")
