"""Tests that the soak finds streams of two versions."""

from __future__ import annotations

import pytest

from testing.soak import fault_periods as fault_periods_lib
from testing.soak import rule as rule_lib
from testing.soak import version_checker

NOW_S = 100.0


def make_request(request_id: str, **headers) -> tuple:
    return (
        "POST",
        "/task/",
        {"x-jasminetally-attempt-id": request_id, **headers},
        b"",
    )


@pytest.fixture
def periods():
    return fault_periods_lib.FaultPeriods()


@pytest.fixture
def checker(periods):
    checker = version_checker.VersionChecker(periods)
    checker.on_serving("pool-1", "v1")
    checker.on_serving("pool-2", "v2")
    return checker


def run_streams(checker, version: str, *, taken_up: bool) -> None:
    for number in range(version_checker.MAX_JOINED_STREAMS + 1):
        request_id = f"id-{number}"
        checker.on_run(make_request(request_id), "v1", NOW_S)
        checker.on_event(request_id, "v1")
        headers = {"last-event-id": "1"}
        if taken_up:
            headers["resumes"] = request_id
            request_id = f"again-{number}"
        checker.on_run(make_request(request_id, **headers), version, NOW_S)


@pytest.mark.parametrize("taken_up", [False, True])
def test_streams_of_two_versions_are_violations(checker, periods, taken_up):
    """Guards against a check that misses joined streams."""
    run_streams(checker, "v1", taken_up=taken_up)
    assert checker.find_violations() == []
    run_streams(checker, "v2", taken_up=taken_up)
    assert len(checker.find_violations()) == 1
    assert periods.chances[rule_lib.Rule.VERSIONS] == 6


def test_stream_that_begins_anew_may_have_another_version(checker):
    """Guards against a check that fails on retries without an event."""
    for number in range(version_checker.MAX_JOINED_STREAMS + 1):
        request = make_request(f"id-{number}")
        checker.on_run(request, "v1", NOW_S)
        checker.on_event(f"id-{number}", "v1")
        checker.on_run(request, "v2", NOW_S)
        checker.on_event(f"id-{number}", "v2")
        resumed = make_request(f"id-{number}", **{"last-event-id": "1"})
        checker.on_run(resumed, "v2", NOW_S)
    assert checker.find_violations() == []
