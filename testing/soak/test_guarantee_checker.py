"""Tests that the soak's checks see what they are for."""

from __future__ import annotations

import pytest

from testing.soak import fault_periods as fault_periods_lib
from testing.soak import fault_plan
from testing.soak import guarantee_checker
from testing.soak import sent_request

SIGNED = {"x-jasminetally-server-signature": "s"}
NOW_S = 100.0


def make_attempt(
    *, repeatable=False, prompt_tokens=0, account="large"
) -> sent_request.SentRequest:
    return sent_request.SentRequest(
        "id-1", "/flip/", b"b", account, repeatable, prompt_tokens, NOW_S
    )


def run_of(sent: sent_request.SentRequest, **headers) -> tuple:
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


def test_whole_answer_breaks_nothing(checker):
    """Guards against a check that fails on correct answers."""
    sent = make_attempt()
    checker.on_sent(sent)
    checker.on_run("app-1", run_of(sent), NOW_S)
    checker.on_answer(
        sent, 200, SIGNED, guarantee_checker.expected_answer(sent)
    )
    assert checker.violations == []


def test_second_run_of_a_call_that_may_not_be_repeated_is_seen(checker):
    """Guards against duplicates that nobody notices."""
    sent = make_attempt()
    checker.on_sent(sent)
    for server in ("app-1", "app-2"):
        checker.on_run(server, run_of(sent), NOW_S)
    assert len(checker.violations) == 1


def test_run_after_a_refusal_is_seen(checker):
    """Guards against refusals that are not true."""
    sent = make_attempt(repeatable=True)
    checker.on_sent(sent)
    checker.on_answer(sent, 503, {}, b"")
    checker.on_run("app-1", run_of(sent), NOW_S)
    assert len(checker.violations) == 1


def test_refusal_after_a_run_is_seen(checker):
    """Guards against refusals that are not true."""
    sent = make_attempt()
    checker.on_sent(sent)
    checker.on_run("app-1", run_of(sent), NOW_S)
    checker.on_answer(sent, 503, {}, b"")
    assert len(checker.violations) == 1


@pytest.mark.parametrize(
    ("headers", "body"),
    [({}, b"answer to b"), (SIGNED, b"answer to c"), (SIGNED, b"answer")],
)
def test_answer_that_is_not_the_servers_is_seen(checker, headers, body):
    """Guards against unsigned, foreign and cut answers that look whole."""
    sent = make_attempt()
    checker.on_sent(sent)
    checker.on_run("app-1", run_of(sent), NOW_S)
    checker.on_answer(sent, 200, headers, body)
    assert len(checker.violations) == 1


def test_key_or_account_at_a_server_is_checked(checker):
    """Guards against keys that reach servers, and wrong accounts."""
    sent = make_attempt()
    checker.on_sent(sent)
    wrong = {"authorization": "k", "x-jasminetally-tenant": "other"}
    checker.on_run("app-1", run_of(sent, **wrong), NOW_S)
    assert len(checker.violations) == 2


def test_missing_event_is_seen(checker):
    """Guards against gaps in streams that were continued elsewhere."""
    sent = make_attempt(prompt_tokens=100)
    checker.on_event(sent, guarantee_checker.encode_event("id-1", 1))
    checker.on_event(sent, guarantee_checker.encode_event("id-1", 3))
    assert len(checker.violations) == 1


def test_account_that_uses_more_than_it_paid_for_is_seen(checker):
    """Guards against overspending."""
    sent = make_attempt(prompt_tokens=340, account="small")
    checker.on_event(sent, guarantee_checker.encode_event("id-1", 1))
    assert checker.violations == []
    checker.on_event(sent, guarantee_checker.encode_event("id-1", 2))
    assert len(checker.violations) == 1


def test_cut_without_a_fault_is_seen(checker, fault_periods):
    """Guards against planned stops that cut off requests."""
    sent = make_attempt()
    checker.on_sent(sent)
    checker.on_run("app-1", run_of(sent), NOW_S)
    checker.on_connection_broken(sent, "closed", NOW_S + 1.0)
    assert len(checker.violations) == 1
    fault_periods.add(NOW_S + 0.5, NOW_S + 2.0)
    checker.on_connection_broken(sent, "closed", NOW_S + 1.0)
    assert len(checker.violations) == 1


def test_work_at_a_server_that_left_is_seen(checker):
    """Guards against work for servers that are about to exit."""
    sent = make_attempt()
    checker.on_sent(sent)
    checker.on_server_draining("app-1", NOW_S)
    checker.on_run("app-1", run_of(sent), NOW_S + 10.0)
    assert len(checker.violations) == 1


def test_work_for_a_caller_that_left_is_seen(checker):
    """Guards against servers that work for nobody."""
    sent = make_attempt()
    checker.on_sent(sent)
    checker.on_run("app-1", run_of(sent), NOW_S)
    checker.on_abandoned(sent, NOW_S)
    checker.check_abandoned(NOW_S + 2.0)
    assert len(checker.violations) == 1


def test_configuration_that_comes_back_is_seen(checker):
    """Guards against routers that revert a configuration."""
    checker.on_probe("router-1#1", 6, 200, NOW_S)
    checker.on_probe("router-1#2", 3, 200, NOW_S)
    assert checker.violations == []
    checker.on_probe("router-1#1", 3, 200, NOW_S)
    assert len(checker.violations) == 1


def test_configuration_that_is_not_applied_is_seen(checker):
    """Guards against routers that miss a change."""
    checker.on_config_stored(3, NOW_S - 50.0)
    checker.on_config_stored(6, NOW_S - 10.0)
    checker.on_probe("router-1#1", 3, 200, NOW_S)
    assert len(checker.violations) == 1


def test_plan_of_a_seed_is_always_the_same():
    """Guards against seeds that can't be played again."""
    plans = [fault_plan.make_plan(7, routers=4, servers=6) for _ in range(2)]
    assert plans[0] == plans[1]
    assert plans[0] != fault_plan.make_plan(8, routers=4, servers=6)
