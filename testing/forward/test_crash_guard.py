"""Tests of which suspects a crash counts for."""

from __future__ import annotations

import asyncio
import time
import types

import pytest

from jasminetally._deployment import route as route_lib
from jasminetally._deployment import route_kind
from jasminetally._deployment import weighted_service
from jasminetally._forward import attempt_result
from jasminetally._forward import caller_request
from jasminetally._forward import crash_guard
from jasminetally._forward import request_job
from jasminetally._placing import crash_history
from jasminetally._placing import prompt_part
from jasminetally._shared import background_tasks

CRASHED = attempt_result.Broken("closed", closed_by_server=True)


class RefusingPool:
    """Pool whose servers all refuse connections."""

    async def refuses_connections(self, address: str) -> bool:
        """Return True."""
        del address
        return True


def make_job() -> request_job.RequestJob:
    return request_job.RequestJob(
        request=caller_request.CallerRequest(
            b"POST",
            b"/task/",
            [(b"host", b"site.example")],
            b"body",
            False,
            True,
            0.0,
            0.0,
        ),
        request_id="id-1",
        route=route_lib.Route(
            name="r",
            host="site.example",
            path_prefix="/task/",
            kind=route_kind.RouteKind.STREAM,
            services=(weighted_service.WeightedService("pool", 1.0),),
            timeout_s=3.0,
            target_latency_s=1.0,
            target_event_gap_s=1.0,
            priority=0,
            max_attempts=2,
            public=False,
            prefix_affinity=True,
            resumable=True,
        ),
        service="pool",
        account=None,
        deployment_version=1,
        deadline_s=0.0,
        prompt_tokens=30,
        max_output_tokens=10,
        prompt_parts=(
            prompt_part.PromptPart("aa", 10),
            prompt_part.PromptPart("bb", 10),
            prompt_part.PromptPart("cc", 10),
        ),
        model=b"m",
        tokens_per_event=1,
    )


@pytest.fixture
def history():
    return crash_history.CrashHistory()


@pytest.fixture
def run_with_guard(log, history):
    """Return a function that runs a scenario, which takes a guard."""

    async def announce() -> None:
        """Tell no other routers."""

    def run(scenario) -> None:
        guard = crash_guard.CrashGuard(
            history=history,
            pool=RefusingPool(),
            announce=announce,
            save=lambda suspect: None,
            tasks=background_tasks.BackgroundTasks(log),
            log=log,
        )
        asyncio.run(scenario(guard))

    return run


def make_server():
    entry = types.SimpleNamespace(server_id="s", address="127.0.0.1:1")
    return types.SimpleNamespace(entry=entry, avoided_until_s=0.0)


def crashes_by_part(history, job) -> list[int]:
    now_s = time.monotonic()
    return [history.get(name, now_s).crashes for name in job.part_suspects]


def test_last_part_is_not_suspected(run_with_guard, history):
    """Guards against records of parts that no other request has."""
    job = make_job()

    async def scenario(guard):
        known = guard.begin_attempt(job)
        await guard.on_result(job, make_server(), known, CRASHED)

    run_with_guard(scenario)
    assert len(job.part_suspects) == 2
    assert crashes_by_part(history, job) == [1, 1]


def test_parts_of_an_answer_that_went_on_are_not_suspected(
    run_with_guard, history
):
    """Guards against harmless parts blamed for what another request did."""
    job = make_job()

    async def scenario(guard):
        known = guard.begin_attempt(job)
        guard.on_answer_began(job)
        job.answer_began_s -= 2 * crash_guard.ANSWER_PROOF_S
        await guard.on_result(job, make_server(), known, CRASHED)

    run_with_guard(scenario)
    assert crashes_by_part(history, job) == [0, 0]
    assert history.get(job.fingerprint, time.monotonic()).crashes == 1


def test_parts_of_an_answer_that_has_just_begun_are_suspected(
    run_with_guard, history
):
    """Guards against servers that send an event before they crash."""
    job = make_job()

    async def scenario(guard):
        known = guard.begin_attempt(job)
        guard.on_answer_began(job)
        await guard.on_result(job, make_server(), known, CRASHED)

    run_with_guard(scenario)
    assert crashes_by_part(history, job) == [1, 1]


def test_answer_of_an_earlier_attempt_proves_nothing(run_with_guard, history):
    """Guards against parts trusted for what another server has sent."""
    job = make_job()

    async def scenario(guard):
        known = guard.begin_attempt(job)
        guard.on_answer_began(job)
        job.answer_began_s -= 2 * crash_guard.ANSWER_PROOF_S
        broken = attempt_result.Broken("no answer")
        await guard.on_result(job, make_server(), known, broken)
        known = guard.begin_attempt(job)
        await guard.on_result(job, make_server(), known, CRASHED)

    run_with_guard(scenario)
    assert crashes_by_part(history, job) == [1, 1]


def test_answer_that_goes_on_clears_the_parts(run_with_guard, history):
    """Guards against shared parts that only whole streams would clear."""
    job = make_job()

    async def scenario(guard):
        known = guard.begin_attempt(job)
        await guard.on_result(job, make_server(), known, CRASHED)
        assert crashes_by_part(history, job) == [1, 1]
        guard.begin_attempt(job)
        guard.on_answer_began(job)
        await asyncio.sleep(2 * crash_guard.ANSWER_PROOF_S)

    run_with_guard(scenario)
    assert crashes_by_part(history, job) == [0, 0]
