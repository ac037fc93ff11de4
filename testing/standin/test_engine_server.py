"""Tests of the engine stand-in."""

from __future__ import annotations

import pytest
import urllib3


def ask(pool, request_id, content, *, stream=False, max_tokens=8):
    return pool.request(
        "POST",
        "/v1/chat/completions",
        json={
            "model": "board-small",
            "messages": [{"role": "user", "content": content}],
            "stream": stream,
            "max_tokens": max_tokens,
        },
        headers={"X-Request-Id": request_id},
        preload_content=True,
    )


def test_whole_and_streamed_answers_agree(pool):
    """Guards against a stand-in whose two forms differ."""
    whole = ask(pool, "a", "floor two").json()
    text = ask(pool, "b", "floor two", stream=True).data.decode()
    for word in whole["choices"][0]["message"]["content"].split():
        assert word in text
    assert text.endswith("data: [DONE]\n\n")
    assert whole["usage"]["completion_tokens"] == 8


def test_resumed_stream_starts_at_the_index(pool):
    """Guards against a resume that repeats or skips tokens."""
    ask(pool, "a", "floor two", stream=True)
    resumed = pool.request("GET", "/v1/streams/a?from=6").data.decode()
    indices = [
        index for index in range(8) if f'"token_index":{index}}}' in resumed
    ]
    assert indices == [6, 7]
    assert pool.request("GET", "/admin/runs").json()["runs"] == {"a": 1}


def test_draining_engine_reports_not_run(pool):
    """Guards against a refusal that can't be told from a failure."""
    pool.request("POST", "/admin/faults", json={"draining": True})
    refused = ask(pool, "a", "floor two")
    assert (refused.status, refused.headers["X-Not-Run"]) == (503, "1")


def test_crash_marker_ends_the_engine_without_an_answer(pool):
    """Guards against a crash that looks like an ordinary error status."""
    with pytest.raises(urllib3.exceptions.HTTPError):
        ask(pool, "a", "please crash-the-engine now")
    assert pool.request("GET", "/admin/runs").json()["crashes"] == 1


def test_old_fencing_number_is_refused_only_by_checking_engines(pool):
    """Guards against a stand-in that checks when it should not."""
    order = {"kind": "load_model", "value": "m2", "fencing": 7}
    assert pool.request("POST", "/v1/orders", json=order).status == 200
    order["fencing"] = 6
    assert pool.request("POST", "/v1/orders", json=order).status == 409
    pool.request("POST", "/admin/faults", json={"checks_fencing": False})
    assert pool.request("POST", "/v1/orders", json=order).status == 200
