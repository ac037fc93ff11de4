"""Tests with every daemon in its own process."""

from __future__ import annotations

import concurrent.futures
import json
import signal

import openai
import pytest

from jasminetally._router import embedded_config
from testing.router import conftest
from testing.router import process_fleet

pytestmark = pytest.mark.process

TOKENS = 40


@pytest.fixture(scope="module")
def shared_fleet(tmp_path_factory):
    """Fleet for tests that leave all processes running and unchanged."""
    directory = tmp_path_factory.mktemp("fleet")
    with process_fleet.ProcessFleet(directory) as started:
        yield started


@pytest.fixture
def fleet(tmp_path):
    """Separate fleet for a test that stops processes."""
    with process_fleet.ProcessFleet(tmp_path) as started:
        yield started


def slow_down_engines(fleet):
    """Make answers long enough to be interrupted."""
    fleet.set_engine_behaviour(step_s=0.05, answer_tokens=TOKENS)


def restore_engine_speed(fleet):
    fleet.set_engine_behaviour(step_s=0.005, answer_tokens=16)


def open_streams(fleet, instance, count):
    """Open streams and wait for the first bytes of each."""
    with concurrent.futures.ThreadPoolExecutor(count) as pool:
        streams = list(
            pool.map(
                lambda number: fleet.send_chat(
                    instance,
                    f"stream {number}",
                    stream=True,
                    tokens=TOKENS,
                    Idempotency_Key=f"stream-{number}",
                ),
                range(count),
            )
        )
    return [(stream, stream.read1(100)) for stream in streams]


def stream_text(data):
    parts = []
    lines = data.decode().split("\n\n")
    assert lines[-2:] == ["data: [DONE]", ""]
    for line in lines[:-2]:
        for choice in json.loads(line.removeprefix("data: "))["choices"]:
            parts.append(choice["delta"].get("content") or "")
    return "".join(parts)


def assert_balanced(budget):
    held = sum(grant.tokens for grant in budget.grants.values())
    assert sum(budget.credited.values()) == (
        budget.settled + budget.unbilled + held + budget.free
    )


def test_unmodified_client_streams_and_completes_at_each_router(shared_fleet):
    """Guards against a router that works only in the embedded deployment."""
    texts = set()
    for address in shared_fleet.routers.values():
        client = openai.OpenAI(
            api_key=embedded_config.API_KEY,
            base_url=f"http://{address}/v1",
            max_retries=0,
        )
        chat_arguments = {
            "model": embedded_config.MODEL,
            "messages": [{"role": "user", "content": "hello"}],
            "max_tokens": 8,
        }
        whole = client.chat.completions.create(**chat_arguments)
        texts.add(whole.choices[0].message.content)
        stream = client.chat.completions.create(**chat_arguments, stream=True)
        texts.add(
            "".join(
                part.choices[0].delta.content or ""
                for part in stream
                if part.choices
            )
        )
    assert len(texts) == 1 and len(texts.pop().split()) == 8


def test_addresses_list_all_ready_routers(shared_fleet):
    """Guards against callers that know no other router for a retry.

    A router announces that it is ready by message, so the others list it a
    moment after it says so itself. The tests of the instance view check that
    the announcement takes effect at once.
    """

    def read_addresses(router):
        reply = shared_fleet.http.request(
            "GET", f"http://{router}/v1/addresses"
        )
        found = json.loads(reply.data)
        assert found["max_age_s"] > 0
        return sorted(found["addresses"])

    routers = sorted(shared_fleet.routers.values())
    process_fleet.wait_until(
        lambda: [read_addresses(router) for router in routers],
        lambda found: found == [routers] * len(routers),
    )


def test_configuration_spreads_to_all_routers(shared_fleet):
    """Guards against a router that keeps an old revision."""
    found = shared_fleet.platform.get("config/current")
    shared_fleet.platform.update(
        found.key, shared_fleet.encode_config(2), expected_version=found.version
    )
    process_fleet.wait_until(
        lambda: {
            shared_fleet.read_status(name)["revision"]
            for name in shared_fleet.routers
        },
        lambda revisions: revisions == {2},
    )


def test_stream_on_a_silent_connection_is_resumed(shared_fleet):
    """Guards against an answer that hangs when its connection goes silent.

    The stream is resumed on another connection without another run.
    """
    slow_down_engines(shared_fleet)
    expected = conftest.answer_text(
        shared_fleet.send_chat("entry-1", "silence", tokens=40)
    )
    runs = shared_fleet.count_runs()
    stream = shared_fleet.send_chat(
        "entry-1", "silence", stream=True, tokens=40
    )
    start = stream.read1(100)
    shared_fleet.set_engine_behaviour(silent_epoch=1)
    assert stream_text(start + stream.read()) == expected
    assert shared_fleet.count_runs() == runs + 1
    restore_engine_speed(shared_fleet)


def test_repeatable_requests_are_served_during_a_platform_outage(shared_fleet):
    """Guards against refusing requests that a router's grant can pay for."""
    account = embedded_config.OTHER_ACCOUNT
    key = {"Authorization": f"Bearer other-{embedded_config.API_KEY}"}
    answers = [
        shared_fleet.send_chat(name, "before", **key)
        for name in shared_fleet.routers
    ]
    shared_fleet.set_platform_faults(outage=True)
    answers += [
        shared_fleet.send_chat(
            name, "during", Idempotency_Key=f"during-{name}", **key
        )
        for name in shared_fleet.routers
    ]
    refused = shared_fleet.send_chat(
        "entry-1",
        "once",
        Idempotency_Key="once",
        Jasminetally_Repeatable="false",
        **key,
    )
    runs = shared_fleet.count_runs()
    shared_fleet.set_platform_faults(outage=False)
    assert [answer.status for answer in answers] == [200] * 6
    error = json.loads(refused.data)["error"]
    assert (refused.status, error["type"]) == (503, "not_run")
    used = sum(json.loads(a.data)["usage"]["total_tokens"] for a in answers)
    budget = process_fleet.wait_until(
        lambda: shared_fleet.read_budget(account),
        lambda found: found.settled >= used,
    )
    assert (budget.settled, budget.unbilled) == (used, 0)
    assert shared_fleet.count_runs() == runs
    assert_balanced(budget)


def test_paused_router_resumes_its_stream(shared_fleet):
    """Guards against losing a stream or a grant when a router is paused."""
    slow_down_engines(shared_fleet)
    expected = conftest.answer_text(
        shared_fleet.send_chat("entry-2", "pause", tokens=40)
    )
    stream = shared_fleet.send_chat("entry-1", "pause", stream=True, tokens=40)
    start = stream.read1(100)
    shared_fleet.send_signal("entry-1", signal.SIGSTOP)
    try:
        others = [
            shared_fleet.send_chat(name, "on")
            for name in ("entry-2", "entry-3")
        ]
        process_fleet.wait_until(
            lambda: shared_fleet.read_status("entry-2")["peers"],
            lambda peers: not all(p["reachable"] for p in peers.values()),
        )
    finally:
        shared_fleet.send_signal("entry-1", signal.SIGCONT)
    assert [answer.status for answer in others] == [200, 200]
    assert stream_text(start + stream.read()) == expected
    assert shared_fleet.send_chat("entry-1", "after").status == 200
    assert shared_fleet.read_status("entry-2")["deaths"] == []
    assert_balanced(shared_fleet.read_budget())
    restore_engine_speed(shared_fleet)


def test_retries_after_a_killed_router_end_whole_and_are_billed_once(fleet):
    """Guards against billing twice or losing an answer after a crash."""
    assert fleet.send_chat("entry-1", "first").status == 200
    slow_down_engines(fleet)
    open_streams(fleet, "entry-1", 6)
    fleet.kill_process("entry-1")
    restore_engine_speed(fleet)
    fleet.set_engine_behaviour(answer_tokens=TOKENS)
    answers = [
        fleet.send_chat(
            ("entry-2", "entry-3")[number % 2],
            f"stream {number}",
            tokens=TOKENS,
            Idempotency_Key=f"stream-{number}",
        )
        for number in range(6)
    ]
    assert [answer.status for answer in answers] == [200] * 6
    texts = [conftest.answer_text(answer) for answer in answers]
    assert [len(text.split()) for text in texts] == [TOKENS] * 6
    assert len(set(texts)) == 6
    again = [
        conftest.answer_text(
            fleet.send_chat(
                ("entry-3", "entry-2")[number % 2],
                f"stream {number}",
                tokens=TOKENS,
                Idempotency_Key=f"stream-{number}",
            )
        )
        for number in range(6)
    ]
    assert again == texts
    used = [json.loads(a.data)["usage"]["total_tokens"] for a in answers]
    found = process_fleet.wait_until(
        lambda: fleet.read_record().requests, lambda known: len(known) >= 6
    )
    assert sorted(entry.tokens for entry in found.values()) == sorted(used)
    assert_balanced(fleet.read_budget())


def test_drain_completes_open_streams_and_returns_all_grants(fleet):
    """Guards against a drain that aborts answers or leaves grants open."""
    slow_down_engines(fleet)
    streams = open_streams(fleet, "entry-1", 6)
    incarnation = fleet.read_status("entry-1")["incarnation"]
    fleet.send_signal("entry-1", signal.SIGTERM)
    refused = process_fleet.wait_until(
        lambda: fleet.send_chat("entry-1", "new"),
        lambda reply: reply.status != 200,
    )
    error = json.loads(refused.data)["error"]
    assert (error["code"], error["type"]) == ("draining", "not_run")
    assert fleet.routers["entry-2"] in error["message"]
    texts = [stream_text(start + stream.read()) for stream, start in streams]
    assert [len(text.split()) for text in texts] == [TOKENS] * 6
    assert fleet.processes["entry-1"].wait(60.0) == 0
    keys = [entry.key for entry in fleet.platform.list("router/").entries]
    assert keys == ["router/entry-2", "router/entry-3"]
    budget = fleet.read_budget()
    assert incarnation not in {g.holder for g in budget.grants.values()}
    assert len(fleet.read_record().requests) == 6
    assert_balanced(budget)


def test_restarted_router_returns_the_grants_of_its_predecessor(fleet):
    """Guards against tokens locked or counted twice after a crash."""
    answered = fleet.send_chat("entry-1", "first", Idempotency_Key="first")
    slow_down_engines(fleet)
    before = fleet.count_runs()
    open_streams(fleet, "entry-1", 4)
    dead = fleet.read_status("entry-1")["incarnation"]
    fleet.kill_process("entry-1")
    runs = fleet.count_runs() - before
    fleet.start_router("entry-1")
    budget = process_fleet.wait_until(
        fleet.read_budget,
        lambda found: dead not in {g.holder for g in found.grants.values()},
    )
    assert_balanced(budget)
    used = json.loads(answered.data)["usage"]["total_tokens"]
    assert budget.settled == used
    # The engines report the tokens that the open streams had used. On a busy
    # machine the router may have started one of the four a second time.
    most = runs * (TOKENS + len("stream 0") + 8)
    assert 0 < budget.unbilled <= most
    process_fleet.wait_until(
        lambda: fleet.read_status("entry-2")["deaths"],
        lambda found: found == [dead],
    )
    assert fleet.send_chat("entry-1", "again").status == 200


def test_unrepeatable_request_of_a_killed_router_runs_once(fleet):
    """Guards against a second run of a request whose router was killed."""
    assert fleet.send_chat("entry-1", "first").status == 200
    slow_down_engines(fleet)
    headers = {"Idempotency_Key": "once", "Jasminetally_Repeatable": "false"}
    runs = fleet.count_runs()
    stream = fleet.send_chat(
        "entry-1", "once", stream=True, tokens=TOKENS, **headers
    )
    assert stream.read1(100)
    fleet.kill_process("entry-1")
    retry = fleet.send_chat("entry-2", "once", tokens=TOKENS, **headers)
    assert retry.status == 200
    assert len(conftest.answer_text(retry).split()) == TOKENS
    again = fleet.send_chat("entry-3", "once", tokens=TOKENS, **headers)
    assert conftest.answer_text(again) == conftest.answer_text(retry)
    assert fleet.count_runs() == runs + 1
    assert_balanced(fleet.read_budget())
