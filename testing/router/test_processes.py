"""Tests with every daemon in a process of its own."""

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
def shared(tmp_path_factory):
    """Fleet for tests that leave all processes as they were."""
    directory = tmp_path_factory.mktemp("fleet")
    with process_fleet.ProcessFleet(directory) as started:
        yield started


@pytest.fixture
def fleet(tmp_path):
    """Fleet of its own for a test that stops processes."""
    with process_fleet.ProcessFleet(tmp_path) as started:
        yield started


def slow(fleet):
    """Make answers long enough to be interrupted."""
    fleet.set_engines(step_s=0.05, answer_tokens=TOKENS)


def fast(fleet):
    fleet.set_engines(step_s=0.005, answer_tokens=16)


def open_streams(fleet, instance, count):
    """Open streams and wait for the first bytes of each."""
    with concurrent.futures.ThreadPoolExecutor(count) as pool:
        streams = list(
            pool.map(
                lambda number: fleet.chat(
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


def text_of(data):
    parts = []
    lines = data.decode().split("\n\n")
    assert lines[-2:] == ["data: [DONE]", ""]
    for line in lines[:-2]:
        for choice in json.loads(line.removeprefix("data: "))["choices"]:
            parts.append(choice["delta"].get("content") or "")
    return "".join(parts)


def check_balance(budget):
    held = sum(grant.tokens for grant in budget.grants.values())
    assert sum(budget.credited.values()) == (
        budget.settled + budget.unbilled + held + budget.free
    )


def test_unmodified_client_streams_and_completes_at_each_router(shared):
    """Guards against a router process that works only in the embedded form."""
    texts = set()
    for address in shared.routers.values():
        client = openai.OpenAI(
            api_key=embedded_config.API_KEY,
            base_url=f"http://{address}/v1",
            max_retries=0,
        )
        asked = {
            "model": embedded_config.MODEL,
            "messages": [{"role": "user", "content": "hello"}],
            "max_tokens": 8,
        }
        whole = client.chat.completions.create(**asked)
        texts.add(whole.choices[0].message.content)
        stream = client.chat.completions.create(**asked, stream=True)
        texts.add(
            "".join(
                part.choices[0].delta.content or ""
                for part in stream
                if part.choices
            )
        )
    assert len(texts) == 1 and len(texts.pop().split()) == 8


def test_addresses_name_all_ready_routers(shared):
    """Guards against callers that know no other router for a retry."""
    for address in shared.routers.values():
        reply = shared.http.request("GET", f"http://{address}/v1/addresses")
        found = json.loads(reply.data)
        assert sorted(found["addresses"]) == sorted(shared.routers.values())
        assert found["max_age_s"] > 0


def test_configuration_spreads_to_all_routers(shared):
    """Guards against a router that goes on with an old revision."""
    found = shared.platform.get("config/current")
    shared.platform.update(
        found.key, shared.config(2), expected_version=found.version
    )
    process_fleet.wait_for(
        lambda: {shared.status(name)["revision"] for name in shared.routers},
        lambda revisions: revisions == {2},
    )


def test_silent_connection_is_replaced_and_the_stream_ends_whole(shared):
    """Guards against an answer that hangs on a connection gone silent."""
    slow(shared)
    expected = conftest.content(shared.chat("entry-1", "silence", tokens=40))
    runs = shared.runs()
    stream = shared.chat("entry-1", "silence", stream=True, tokens=40)
    start = stream.read1(100)
    shared.set_engines(silent_epoch=1)
    assert text_of(start + stream.read()) == expected
    assert shared.runs() == runs + 1
    fast(shared)


def test_outage_of_the_platform_stops_no_repeatable_request(shared):
    """Guards against refusing requests that a router's grant can pay for."""
    account = embedded_config.OTHER_ACCOUNT
    key = {"Authorization": f"Bearer other-{embedded_config.API_KEY}"}
    answers = [shared.chat(name, "before", **key) for name in shared.routers]
    shared.set_platform(outage=True)
    answers += [
        shared.chat(name, "during", Idempotency_Key=f"during-{name}", **key)
        for name in shared.routers
    ]
    refused = shared.chat(
        "entry-1",
        "once",
        Idempotency_Key="once",
        Jasminetally_Repeatable="false",
        **key,
    )
    runs = shared.runs()
    shared.set_platform(outage=False)
    assert [answer.status for answer in answers] == [200] * 6
    error = json.loads(refused.data)["error"]
    assert (refused.status, error["type"]) == (503, "not_run")
    used = sum(json.loads(a.data)["usage"]["total_tokens"] for a in answers)
    budget = process_fleet.wait_for(
        lambda: shared.budget(account), lambda found: found.settled >= used
    )
    assert (budget.settled, budget.unbilled) == (used, 0)
    assert shared.runs() == runs
    check_balance(budget)


def test_paused_router_goes_on_where_it_was(shared):
    """Guards against a pause that loses a stream or a grant."""
    slow(shared)
    expected = conftest.content(shared.chat("entry-2", "pause", tokens=40))
    stream = shared.chat("entry-1", "pause", stream=True, tokens=40)
    start = stream.read1(100)
    shared.signal("entry-1", signal.SIGSTOP)
    try:
        others = [shared.chat(name, "on") for name in ("entry-2", "entry-3")]
        process_fleet.wait_for(
            lambda: shared.status("entry-2")["peers"],
            lambda peers: not all(p["reachable"] for p in peers.values()),
        )
    finally:
        shared.signal("entry-1", signal.SIGCONT)
    assert [answer.status for answer in others] == [200, 200]
    assert text_of(start + stream.read()) == expected
    assert shared.chat("entry-1", "after").status == 200
    assert shared.status("entry-2")["deaths"] == []
    check_balance(shared.budget())
    fast(shared)


def test_retries_after_a_killed_router_end_whole_and_are_billed_once(fleet):
    """Guards against a double bill or a lost answer after a crash."""
    assert fleet.chat("entry-1", "first").status == 200
    slow(fleet)
    open_streams(fleet, "entry-1", 6)
    fleet.kill("entry-1")
    fast(fleet)
    fleet.set_engines(answer_tokens=TOKENS)
    answers = [
        fleet.chat(
            ("entry-2", "entry-3")[number % 2],
            f"stream {number}",
            tokens=TOKENS,
            Idempotency_Key=f"stream-{number}",
        )
        for number in range(6)
    ]
    assert [answer.status for answer in answers] == [200] * 6
    texts = [conftest.content(answer) for answer in answers]
    assert [len(text.split()) for text in texts] == [TOKENS] * 6
    assert len(set(texts)) == 6
    again = [
        conftest.content(
            fleet.chat(
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
    found = process_fleet.wait_for(
        lambda: fleet.record().requests, lambda known: len(known) >= 6
    )
    assert sorted(entry.tokens for entry in found.values()) == sorted(used)
    check_balance(fleet.budget())


def test_drain_cuts_no_stream_and_returns_all_grants(fleet):
    """Guards against a shutdown that interrupts answers or locks tokens."""
    slow(fleet)
    streams = open_streams(fleet, "entry-1", 6)
    incarnation = fleet.status("entry-1")["incarnation"]
    fleet.signal("entry-1", signal.SIGTERM)
    refused = process_fleet.wait_for(
        lambda: fleet.chat("entry-1", "new"), lambda reply: reply.status != 200
    )
    error = json.loads(refused.data)["error"]
    assert (error["code"], error["type"]) == ("draining", "not_run")
    assert fleet.routers["entry-2"] in error["message"]
    texts = [text_of(start + stream.read()) for stream, start in streams]
    assert [len(text.split()) for text in texts] == [TOKENS] * 6
    assert fleet.processes["entry-1"].wait(60.0) == 0
    keys = [entry.key for entry in fleet.platform.list("router/").entries]
    assert keys == ["router/entry-2", "router/entry-3"]
    budget = fleet.budget()
    assert incarnation not in {g.holder for g in budget.grants.values()}
    assert len(fleet.record().requests) == 6
    check_balance(budget)


def test_restarted_router_gives_back_the_grants_of_its_predecessor(fleet):
    """Guards against tokens that stay locked after a crash, or run twice."""
    answered = fleet.chat("entry-1", "first", Idempotency_Key="first")
    slow(fleet)
    before = fleet.runs()
    open_streams(fleet, "entry-1", 4)
    dead = fleet.status("entry-1")["incarnation"]
    fleet.kill("entry-1")
    runs = fleet.runs() - before
    fleet.start_router("entry-1")
    budget = process_fleet.wait_for(
        fleet.budget,
        lambda found: dead not in {g.holder for g in found.grants.values()},
    )
    check_balance(budget)
    used = json.loads(answered.data)["usage"]["total_tokens"]
    assert budget.settled == used
    # The engines were asked what the open streams had used. On a busy machine
    # the router may have started one of the four a second time.
    most = runs * (TOKENS + len("stream 0") + 8)
    assert 0 < budget.unbilled <= most
    process_fleet.wait_for(
        lambda: fleet.status("entry-2")["deaths"], lambda found: found == [dead]
    )
    assert fleet.chat("entry-1", "again").status == 200


def test_killed_router_leaves_a_single_run_of_what_may_not_be_repeated(fleet):
    """Guards against a second run of a task whose router has died."""
    assert fleet.chat("entry-1", "first").status == 200
    slow(fleet)
    headers = {"Idempotency_Key": "once", "Jasminetally_Repeatable": "false"}
    runs = fleet.runs()
    stream = fleet.chat(
        "entry-1", "once", stream=True, tokens=TOKENS, **headers
    )
    assert stream.read1(100)
    fleet.kill("entry-1")
    retry = fleet.chat("entry-2", "once", tokens=TOKENS, **headers)
    assert retry.status == 200
    assert len(conftest.content(retry).split()) == TOKENS
    again = fleet.chat("entry-3", "once", tokens=TOKENS, **headers)
    assert conftest.content(again) == conftest.content(retry)
    assert fleet.runs() == runs + 1
    check_balance(fleet.budget())
