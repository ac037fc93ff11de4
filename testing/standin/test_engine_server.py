"""Tests of the engine stand-in."""

from __future__ import annotations

import pytest
import urllib3


def request_completion(
    pool, request_id, content, *, stream=False, max_tokens=8
):
    """Send a chat completion request; return the whole response."""
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
    """Guards against text that depends on whether the answer is streamed."""
    whole = request_completion(pool, "a", "floor two").json()
    text = request_completion(pool, "b", "floor two", stream=True).data.decode()
    for word in whole["choices"][0]["message"]["content"].split():
        assert word in text
    assert text.endswith("data: [DONE]\n\n")
    assert whole["usage"]["completion_tokens"] == 8


def test_resumed_stream_starts_at_the_requested_token(pool):
    """Guards against a resume that repeats or skips tokens, or runs again."""
    request_completion(pool, "a", "floor two", stream=True)
    resumed = pool.request("GET", "/v1/streams/a?from=6").data.decode()
    indices = [
        index for index in range(8) if f'"token_index":{index}}}' in resumed
    ]
    assert indices == [6, 7]
    assert pool.request("GET", "/admin/runs").json()["runs"] == {"a": 1}


def test_draining_engine_refuses_requests_as_not_run(pool):
    """Guards against a refusal without the header for requests not run.

    A router could not distinguish it from a failure of a request that may
    have run.
    """
    pool.request("POST", "/admin/faults", json={"draining": True})
    refused = request_completion(pool, "a", "floor two")
    assert (refused.status, refused.headers["X-Not-Run"]) == (503, "1")


def test_crash_marker_closes_the_connection_without_a_reply(pool):
    """Guards against a simulated crash that is answered with an error."""
    with pytest.raises(urllib3.exceptions.HTTPError):
        request_completion(pool, "a", "please crash-the-engine now")
    assert pool.request("GET", "/admin/runs").json()["crashes"] == 1


def test_lower_fencing_number_is_refused_only_with_checks(pool):
    """Guards against a fencing check that is missing or cannot be disabled."""
    order = {"kind": "load_model", "value": "m2", "fencing": 7}
    assert pool.request("POST", "/v1/orders", json=order).status == 200
    order["fencing"] = 6
    assert pool.request("POST", "/v1/orders", json=order).status == 409
    pool.request("POST", "/admin/faults", json={"checks_fencing": False})
    assert pool.request("POST", "/v1/orders", json=order).status == 200
