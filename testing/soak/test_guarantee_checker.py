"""Tests that the checks of the soak find the violations they look for."""

from __future__ import annotations

import pytest

from testing.soak import fault_periods as fault_periods_lib
from testing.soak import fault_plan
from testing.soak import guarantee_checker
from testing.soak import notice_checker
from testing.soak import retry_checker
from testing.soak import sent_request

SIGNED_HEADERS = {"x-jasminetally-server-signature": "s"}
NOW_S = 100.0


def make_request(
    *, repeatable=False, prompt_tokens=0, account="large"
) -> sent_request.SentRequest:
    return sent_request.SentRequest(
        "id-1", "/flip/", b"b", account, repeatable, prompt_tokens, NOW_S
    )


def as_received(sent: sent_request.SentRequest, **headers) -> tuple:
    """Return a sent request as a backend server receives it."""
    return (
        "POST",
        sent.path,
        {
            "x-jasminetally-attempt-id": sent.request_id,
            "x-jasminetally-tenant": sent.account,
            **headers,
        },
        sent.body,
    )


@pytest.fixture
def fault_periods() -> fault_periods_lib.FaultPeriods:
    return fault_periods_lib.FaultPeriods()


@pytest.fixture
def checker(fault_periods) -> guarantee_checker.GuaranteeChecker:
    return guarantee_checker.GuaranteeChecker(
        fault_periods, {"large": 10_000, "small": 350}
    )


def test_complete_answer_is_no_violation(checker):
    """Guards against a check that fails on correct answers."""
    sent = make_request()
    checker.on_sent(sent)
    checker.on_run("app-1", as_received(sent), NOW_S)
    checker.on_answer(
        sent, 200, SIGNED_HEADERS, guarantee_checker.expected_answer(sent)
    )
    assert checker.violations == []


def test_second_run_of_an_unrepeatable_request_is_found(checker):
    """Guards against a check that misses duplicate runs."""
    sent = make_request()
    checker.on_sent(sent)
    for server in ("app-1", "app-2"):
        checker.on_run(server, as_received(sent), NOW_S)
    assert len(checker.violations) == 1


def test_run_after_a_refusal_is_found(checker):
    """Guards against a check that misses runs after "not run" was stated."""
    sent = make_request(repeatable=True)
    checker.on_sent(sent)
    checker.on_answer(sent, 503, {}, b"")
    checker.on_run("app-1", as_received(sent), NOW_S)
    assert len(checker.violations) == 1


def test_refusal_after_a_run_is_found(checker):
    """Guards against a check that misses a false statement of "not run"."""
    sent = make_request()
    checker.on_sent(sent)
    checker.on_run("app-1", as_received(sent), NOW_S)
    checker.on_answer(sent, 503, {}, b"")
    assert len(checker.violations) == 1


@pytest.mark.parametrize(
    ("headers", "body"),
    [
        ({}, b"answer to b"),
        (SIGNED_HEADERS, b"answer to c"),
        (SIGNED_HEADERS, b"answer"),
    ],
)
def test_answer_that_is_not_from_the_server_is_found(checker, headers, body):
    """Guards against a check that accepts bad answers.

    The answers are unsigned, belong to another request, or are truncated.
    """
    sent = make_request()
    checker.on_sent(sent)
    checker.on_run("app-1", as_received(sent), NOW_S)
    checker.on_answer(sent, 200, headers, body)
    assert len(checker.violations) == 1


def test_key_or_wrong_account_at_a_server_is_found(checker):
    """Guards against a check that misses forwarded keys and wrong accounts."""
    sent = make_request()
    checker.on_sent(sent)
    wrong = {"authorization": "k", "x-jasminetally-tenant": "other"}
    checker.on_run("app-1", as_received(sent, **wrong), NOW_S)
    assert len(checker.violations) == 2


def test_missing_event_is_found(checker):
    """Guards against a check that misses gaps in resumed streams."""
    sent = make_request(prompt_tokens=100)
    checker.on_event(sent, guarantee_checker.encode_event("id-1", 1))
    checker.on_event(sent, guarantee_checker.encode_event("id-1", 3))
    assert len(checker.violations) == 1


def test_use_beyond_the_prepaid_tokens_is_found(checker):
    """Guards against a check that misses overspending."""
    sent = make_request(prompt_tokens=340, account="small")
    checker.on_event(sent, guarantee_checker.encode_event("id-1", 1))
    assert checker.violations == []
    checker.on_event(sent, guarantee_checker.encode_event("id-1", 2))
    assert len(checker.violations) == 1


def test_cut_without_an_unplanned_fault_is_found(checker, fault_periods):
    """Guards against a check that misses requests cut off by planned stops."""
    sent = make_request()
    checker.on_sent(sent)
    checker.on_run("app-1", as_received(sent), NOW_S)
    checker.on_connection_broken(sent, "closed", NOW_S + 1.0)
    assert len(checker.violations) == 1
    fault_periods.add("router_kill", NOW_S + 0.5, NOW_S + 2.0, [1])
    checker.on_connection_broken(sent, "closed", NOW_S + 1.0)
    assert len(checker.violations) == 1


def test_run_on_a_server_that_drains_for_long_is_found(checker):
    """Guards against a check that misses requests to draining servers."""
    sent = make_request()
    checker.on_sent(sent)
    checker.on_server_draining("app-1", NOW_S)
    checker.on_run("app-1", as_received(sent), NOW_S + 10.0)
    assert len(checker.violations) == 1


def test_run_for_a_caller_that_has_left_is_found(checker):
    """Guards against a check that misses runs of abandoned requests."""
    sent = make_request()
    checker.on_sent(sent)
    checker.on_run("app-1", as_received(sent), NOW_S)
    checker.on_abandoned(sent, NOW_S)
    checker.check_abandoned(NOW_S + 2.0)
    assert len(checker.violations) == 1


def test_reverted_configuration_is_found(checker):
    """Guards against a check that misses a reverted configuration.

    Another incarnation of the router may start with an older one.
    """
    checker.on_probe("router-1#1", 6, 200, NOW_S, latest=0)
    checker.on_probe("router-1#2", 3, 200, NOW_S, latest=0)
    assert checker.violations == []
    latest = checker.latest_config("router-1#1")
    checker.on_probe("router-1#1", 3, 200, NOW_S, latest=latest)
    assert len(checker.violations) == 1


def test_answer_that_is_overtaken_is_no_older_configuration(checker):
    """Guards against a request taken for a later one. Soak seed 634."""
    latest = checker.latest_config("router-1#1")
    checker.on_probe("router-1#1", 6, 200, NOW_S + 0.3, latest=latest)
    checker.on_probe("router-1#1", 3, 200, NOW_S, latest=latest)
    assert checker.violations == []
    assert checker.latest_config("router-1#1") == 6


def test_configuration_that_is_not_applied_is_found(checker):
    """Guards against a check that misses an outdated configuration."""
    checker.on_config_stored(3, NOW_S - 50.0)
    checker.on_config_stored(6, NOW_S - 10.0)
    checker.on_probe("router-1#1", 3, 200, NOW_S, latest=0)
    assert len(checker.violations) == 1


def test_plan_of_a_seed_is_always_the_same():
    """Guards against seeds that cannot be reproduced."""
    plans = [fault_plan.make_plan(7, routers=4, servers=6) for _ in range(2)]
    assert plans[0] == plans[1]
    assert plans[0] != fault_plan.make_plan(8, routers=4, servers=6)


def test_third_request_in_a_pause_is_found(checker):
    """Guards against a check that misses requests to a paused server."""
    sent = make_request()
    checker.notices.on_paused("app-1", sent, 2.0, NOW_S)
    for passed_s in (0.4, 0.6, 1.0, 2.1):
        checker.notices.on_arrival("app-1", sent, NOW_S + passed_s)
    assert checker.violations == []
    checker.notices.on_arrival("app-1", sent, NOW_S + 1.5)
    assert len(checker.violations) == 1


def test_request_to_a_server_that_has_said_it_leaves_is_found(checker):
    """Guards against a check that misses requests to a leaving server."""
    checker.notices.on_leaving("app-1", make_request(), NOW_S)
    late = make_request()._replace(sent_s=NOW_S + 2.5)
    checker.notices.on_arrival("app-2", late, NOW_S + 2.5)
    checker.notices.on_arrival("app-1", make_request(), NOW_S + 1.0)
    assert checker.violations == []
    checker.notices.on_arrival("app-1", late, NOW_S + 2.5)
    assert len(checker.violations) == 1


def test_content_that_goes_on_to_crash_servers_is_found(checker):
    """Guards against a check that misses a crashing request."""
    sent = make_request()
    for passed_s in range(3):
        checker.notices.on_crash(sent.body, NOW_S + passed_s)
    for _ in range(5):
        checker.notices.on_arrival("app-1", sent, NOW_S + 4.0)
    for _ in range(3):
        checker.notices.on_arrival("app-1", sent, NOW_S + 6.0)
    assert checker.violations == []
    checker.notices.on_arrival("app-1", sent, NOW_S + 6.0)
    assert len(checker.violations) == 1


def test_denied_proper_request_is_found(checker):
    """Guards against a check that is silent about refused keys and routes."""
    sent = make_request()
    checker.on_sent(sent)
    checker.on_answer(sent, 401, {}, b"")
    assert len(checker.violations) == 1


@pytest.mark.parametrize("status, found", [(200, 0), (404, 1), (401, 1)])
def test_route_that_is_never_served_is_found(checker, status, found):
    """Guards against a check that only judges probes that are answered."""
    checker.on_config_stored(3, NOW_S)
    checker.on_probe("router-0#1", 3, status, NOW_S + 5.0, latest=0)
    assert len(checker.violations) == found


def test_route_of_a_version_under_way_is_no_violation(checker):
    """Guards against a check that allows a change no time."""
    checker.on_config_stored(3, NOW_S)
    checker.on_probe("router-0#1", 3, 404, NOW_S + 1.0, latest=0)
    checker.on_config_stored(6, NOW_S + 1.0)
    checker.on_probe("router-0#1", 3, 404, NOW_S + 9.0, latest=0)
    assert checker.violations == []


@pytest.mark.parametrize(
    "repeats, found", [(retry_checker.EXTRA_RETRIES, 0), (30, 1)]
)
def test_repeats_beyond_the_budget_are_found(repeats, found):
    """Guards against a check that misses unlimited retries."""
    checker = retry_checker.RetryChecker()
    for number in range(10):
        checker.on_sent("app", NOW_S)
        checker.on_arrival("app", f"id-{number}", NOW_S)
    for number in range(repeats):
        checker.on_arrival("app", f"id-{number % 10}", NOW_S + number * 0.01)
    assert bool(checker.find_violations()) == bool(found)


def test_part_that_goes_on_to_crash_servers_is_found(checker, fault_periods):
    """Guards against a check that misses requests with a crashing part.

    The requests that crash servers must not excuse what routers do with them.
    """
    fault_periods.add("fatal_part", NOW_S - 1, NOW_S + 20)
    sent = make_request()._replace(body=b"fatal part 1 #9")
    for number in range(notice_checker.PART_CRASH_LIMIT):
        body = b"fatal part 1 #%d" % number
        checker.notices.on_crash(body, NOW_S + number)
    counted_from_s = NOW_S + number + notice_checker.CONTACT_S
    arrivals = notice_checker.MAX_ARRIVALS_AFTER_CRASHES
    for _ in range(arrivals):
        checker.notices.on_arrival("pool-1", sent, counted_from_s - 0.1)
        checker.notices.on_arrival("pool-1", sent, counted_from_s + 0.1)
    assert checker.violations == []
    other = sent._replace(body=b"fatal part 2 #9")
    checker.notices.on_arrival("pool-1", other, counted_from_s + 0.1)
    assert checker.violations == []
    checker.notices.on_arrival("pool-1", sent, counted_from_s + 0.1)
    (violation,) = checker.violations
    assert "fatal part 1" in violation
