"""Tests that the soak's checks see what they are for."""

from __future__ import annotations

import pytest

from testing.soak import attempt as attempt_lib
from testing.soak import calm as calm_lib
from testing.soak import fault_plan
from testing.soak import witness as witness_lib

SIGNED = {"x-jasminetally-server-signature": "s"}
NOW_S = 100.0


def make_attempt(
    *, repeatable=False, prompt_tokens=0, account="large"
) -> attempt_lib.Attempt:
    return attempt_lib.Attempt(
        "id-1", "/flip/", b"b", account, repeatable, prompt_tokens, NOW_S
    )


def run_of(attempt: attempt_lib.Attempt, **headers) -> tuple:
    return (
        "POST",
        attempt.path,
        {
            "x-jasminetally-attempt-id": attempt.request_id,
            "x-jasminetally-tenant": attempt.account,
            **headers,
        },
        attempt.body,
    )


@pytest.fixture
def calm() -> calm_lib.Calm:
    return calm_lib.Calm()


@pytest.fixture
def witness(calm) -> witness_lib.Witness:
    return witness_lib.Witness(calm, {"large": 10_000, "small": 350})


def test_whole_answer_breaks_nothing(witness):
    """Guards against a check that fails on correct answers."""
    sent = make_attempt()
    witness.on_sent(sent)
    witness.on_run("app-1", run_of(sent), NOW_S)
    witness.on_answer(sent, 200, SIGNED, witness_lib.whole_answer(sent))
    assert witness.violations == []


def test_second_run_of_a_call_that_may_not_be_repeated_is_seen(witness):
    """Guards against duplicates that nobody notices."""
    sent = make_attempt()
    witness.on_sent(sent)
    for server in ("app-1", "app-2"):
        witness.on_run(server, run_of(sent), NOW_S)
    assert len(witness.violations) == 1


def test_run_after_a_refusal_is_seen(witness):
    """Guards against refusals that are not true."""
    sent = make_attempt(repeatable=True)
    witness.on_sent(sent)
    witness.on_answer(sent, 503, {}, b"")
    witness.on_run("app-1", run_of(sent), NOW_S)
    assert len(witness.violations) == 1


def test_refusal_after_a_run_is_seen(witness):
    """Guards against refusals that are not true."""
    sent = make_attempt()
    witness.on_sent(sent)
    witness.on_run("app-1", run_of(sent), NOW_S)
    witness.on_answer(sent, 503, {}, b"")
    assert len(witness.violations) == 1


@pytest.mark.parametrize(
    ("headers", "body"),
    [({}, b"answer to b"), (SIGNED, b"answer to c"), (SIGNED, b"answer")],
)
def test_answer_that_is_not_the_servers_is_seen(witness, headers, body):
    """Guards against unsigned, foreign and cut answers that look whole."""
    sent = make_attempt()
    witness.on_sent(sent)
    witness.on_run("app-1", run_of(sent), NOW_S)
    witness.on_answer(sent, 200, headers, body)
    assert len(witness.violations) == 1


def test_key_or_account_at_a_server_is_checked(witness):
    """Guards against keys that reach servers, and wrong accounts."""
    sent = make_attempt()
    witness.on_sent(sent)
    wrong = {"authorization": "k", "x-jasminetally-tenant": "other"}
    witness.on_run("app-1", run_of(sent, **wrong), NOW_S)
    assert len(witness.violations) == 2


def test_missing_event_is_seen(witness):
    """Guards against gaps in streams that were continued elsewhere."""
    sent = make_attempt(prompt_tokens=100)
    witness.on_event(sent, witness_lib.event("id-1", 1))
    witness.on_event(sent, witness_lib.event("id-1", 3))
    assert len(witness.violations) == 1


def test_account_that_uses_more_than_it_paid_for_is_seen(witness):
    """Guards against overspending."""
    sent = make_attempt(prompt_tokens=340, account="small")
    witness.on_event(sent, witness_lib.event("id-1", 1))
    assert witness.violations == []
    witness.on_event(sent, witness_lib.event("id-1", 2))
    assert len(witness.violations) == 1


def test_cut_without_a_fault_is_seen(witness, calm):
    """Guards against planned stops that cut off requests."""
    sent = make_attempt()
    witness.on_sent(sent)
    witness.on_run("app-1", run_of(sent), NOW_S)
    witness.on_broken(sent, "closed", NOW_S + 1.0)
    assert len(witness.violations) == 1
    calm.note(NOW_S + 0.5, NOW_S + 2.0)
    witness.on_broken(sent, "closed", NOW_S + 1.0)
    assert len(witness.violations) == 1


def test_work_at_a_server_that_left_is_seen(witness):
    """Guards against work for servers that are about to exit."""
    sent = make_attempt()
    witness.on_sent(sent)
    witness.on_draining("app-1", NOW_S)
    witness.on_run("app-1", run_of(sent), NOW_S + 10.0)
    assert len(witness.violations) == 1


def test_work_for_a_caller_that_left_is_seen(witness):
    """Guards against servers that work for nobody."""
    sent = make_attempt()
    witness.on_sent(sent)
    witness.on_run("app-1", run_of(sent), NOW_S)
    witness.on_left(sent, NOW_S)
    witness.check_left(NOW_S + 2.0)
    assert len(witness.violations) == 1


def test_configuration_that_comes_back_is_seen(witness):
    """Guards against routers that revert a configuration."""
    witness.on_probe("router-1#1", 6, 200, NOW_S)
    witness.on_probe("router-1#2", 3, 200, NOW_S)
    assert witness.violations == []
    witness.on_probe("router-1#1", 3, 200, NOW_S)
    assert len(witness.violations) == 1


def test_configuration_that_is_not_applied_is_seen(witness):
    """Guards against routers that miss a change."""
    witness.on_config(3, NOW_S - 50.0)
    witness.on_config(6, NOW_S - 10.0)
    witness.on_probe("router-1#1", 3, 200, NOW_S)
    assert len(witness.violations) == 1


def test_plan_of_a_seed_is_always_the_same():
    """Guards against seeds that can't be played again."""
    plans = [fault_plan.make(7, routers=4, servers=6) for _ in range(2)]
    assert plans[0] == plans[1]
    assert plans[0] != fault_plan.make(8, routers=4, servers=6)
