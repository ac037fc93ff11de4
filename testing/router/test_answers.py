"""Tests of answers to callers through an embedded deployment."""

from __future__ import annotations

import concurrent.futures
import json
import socket
import time

import openai
import pytest

from jasminetally._observe import histograms
from jasminetally._router import embedded_config
from testing.router import conftest


@pytest.fixture
def client(caller):
    return openai.OpenAI(
        api_key=embedded_config.API_KEY,
        base_url=f"http://{caller.address()}/v1",
        max_retries=0,
        timeout=60.0,
    )


def settled_tokens(caller):
    return caller.read_record().budgets["general"].settled


def test_unmodified_client_completes(client):
    """Guards against a whole answer that the openai client can't parse."""
    answer = client.chat.completions.create(
        model=embedded_config.MODEL,
        messages=[{"role": "user", "content": "hello"}],
        max_tokens=8,
    )
    assert len(answer.choices[0].message.content.split()) == 8
    assert answer.choices[0].finish_reason == "stop"
    assert answer.usage.completion_tokens == 8


def test_unmodified_client_streams(client):
    """Guards against events that the openai client can't parse."""
    parts = list(
        client.chat.completions.create(
            model=embedded_config.MODEL,
            messages=[{"role": "user", "content": "hello"}],
            max_tokens=8,
            stream=True,
        )
    )
    text = "".join(
        part.choices[0].delta.content or "" for part in parts if part.choices
    )
    assert len(text.split()) == 8
    assert len({part.id for part in parts}) == 1
    assert parts[-1].usage.completion_tokens == 8


def test_streamed_and_whole_answers_have_the_same_text(caller):
    """Guards against text lost when a whole answer is assembled from events."""
    whole = caller.send_chat("same text")
    stream = caller.send_chat("same text", values={"stream": True})
    assert conftest.answer_text(whole) == conftest.streamed_text(stream)


@pytest.mark.parametrize("stream", [False, True])
@pytest.mark.parametrize("router", [0, 1])
@pytest.mark.parametrize("repeatable", ["true", "false"])
def test_retry_gets_the_same_answer_and_is_billed_once(
    caller, stream, router, repeatable
):
    """Guards against running or billing a request again on a retry."""
    headers = {
        "Idempotency_Key": f"retry-{stream}-{router}-{repeatable}",
        "Jasminetally_Repeatable": repeatable,
    }
    known = len(caller.read_record().requests)
    first = caller.send_chat("retried", values={"stream": stream}, **headers)
    wait_until(lambda: len(caller.read_record().requests), lambda n: n > known)
    before = settled_tokens(caller), caller.count_runs()
    retry = caller.send_chat("retried", router=router, **headers)
    text = (
        conftest.streamed_text(first) if stream else conftest.answer_text(first)
    )
    assert conftest.answer_text(retry) == text
    assert (settled_tokens(caller), caller.count_runs()) == before


def test_concurrent_retries_run_once(caller):
    """Guards against two runs when retries with one key arrive together."""
    runs = caller.count_runs()
    with concurrent.futures.ThreadPoolExecutor(6) as pool:
        answers = list(
            pool.map(
                lambda _: caller.send_chat(
                    "together", Idempotency_Key="together"
                ),
                range(6),
            )
        )
    assert {answer.status for answer in answers} == {200}
    assert len({conftest.answer_text(answer) for answer in answers}) == 1
    assert caller.count_runs() == runs + 1


def test_key_reused_for_another_request_is_refused(caller):
    """Guards against answering a request with the answer of another one."""
    assert caller.send_chat("one", Idempotency_Key="reused").status == 200
    for router in (0, 1):
        retry = caller.send_chat("two", router=router, Idempotency_Key="reused")
        assert retry.status == 422
        assert json.loads(retry.data)["error"]["code"] == "key_reused"


def test_concurrent_callers_get_their_own_answers(caller):
    """Guards against mixing the answers of concurrent streams."""
    texts = [f"caller number {number}" for number in range(24)]
    expected = [conftest.answer_text(caller.send_chat(text)) for text in texts]
    with concurrent.futures.ThreadPoolExecutor(24) as pool:
        answers = pool.map(
            lambda text: caller.send_chat(text, values={"stream": True}), texts
        )
        found = [conftest.streamed_text(answer) for answer in answers]
    assert found == expected
    assert len(set(found)) == len(texts)


def test_unrepeatable_service_call_runs_once(caller):
    """Guards against a second run when a retry reaches another router."""
    headers = {
        "Idempotency_Key": "task-1",
        "Jasminetally_Repeatable": "false",
        "Content_Type": "application/json",
    }
    replies = [
        caller.send_request(
            "POST",
            "/v1/services/board/tasks?x=1",
            router=router,
            body=b'{"room":12}',
            **headers,
        )
        for router in (0, 1, 0)
    ]
    assert {reply.status for reply in replies} == {200}
    assert {json.loads(reply.data)["run"] for reply in replies} == {1}
    assert json.loads(replies[0].data)["path"] == "/v1/tasks"


def test_disconnected_caller_releases_its_tokens(caller):
    """Guards against a reservation left open when a caller disconnects."""
    caller.wait_until_settled()
    before = caller.read_record().budgets["general"]
    for engine in caller.deployed.engines:
        engine.scheduler.behaviour = engine.scheduler.behaviour._replace(
            step_s=0.2
        )
    body = json.dumps(
        {
            "model": embedded_config.MODEL,
            "messages": [{"role": "user", "content": "leaving"}],
            "max_tokens": 16,
            "stream": True,
        }
    )
    host, port = caller.address().split(":")
    with socket.create_connection((host, int(port)), timeout=30.0) as conn:
        conn.sendall(
            f"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n"
            f"Authorization: Bearer {embedded_config.API_KEY}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n{body}".encode()
        )
        assert conn.recv(4096).startswith(b"HTTP/1.1 200")
    for engine in caller.deployed.engines:
        engine.scheduler.behaviour = engine.scheduler.behaviour._replace(
            step_s=0.005
        )
    after = wait_until(
        lambda: caller.read_record().budgets["general"],
        lambda entry: entry.unbilled > before.unbilled,
    )
    assert after.settled == before.settled
    # The whole answer would have used 17 tokens; fewer show that the engine's
    # stream was cancelled.
    assert after.unbilled - before.unbilled < 17


def wait_until(read, is_accepted, timeout_s=20.0):
    end_s = time.monotonic() + timeout_s
    while True:
        value = read()
        if is_accepted(value):
            return value
        assert time.monotonic() < end_s, value
        time.sleep(0.02)


def test_histograms_record_each_measure_of_an_answer(caller):
    """Guards against a measure that is missing from the histograms."""
    assert caller.send_chat("measured", values={"stream": True}).status == 200
    found = json.loads(caller.send_request("GET", "/v1/histograms").data)
    measures = found[embedded_config.CLIENT_ACCOUNT]["desk"]
    assert set(measures) == set(histograms.MEASURES)
    assert all(summary["count"] > 0 for summary in measures.values())
