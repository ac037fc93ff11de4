"""Tests of invalid input from callers against an embedded deployment."""

from __future__ import annotations

import contextlib
import json
import socket

import pytest

from jasminetally._router import embedded_config

VALID_BODY = {
    "model": embedded_config.MODEL,
    "messages": [{"role": "user", "content": "x"}],
}
KEY = f"Bearer {embedded_config.API_KEY}"


def chat_body(**values):
    return json.dumps({**VALID_BODY, **values}).encode()


INVALID_BODIES = [
    pytest.param(b"{", 400, "invalid_body", id="broken JSON"),
    pytest.param(b"", 400, "invalid_body", id="empty"),
    pytest.param(b"[1]", 400, "invalid_body", id="not an object"),
    pytest.param(b"\xff\xfe", 400, "invalid_body", id="not UTF-8"),
    pytest.param(b"[" * 90_000, 400, "invalid_body", id="deep nesting"),
    pytest.param(b'{"messages":[]}', 400, "invalid_body", id="no model"),
    pytest.param(chat_body(messages=[]), 400, "invalid_body", id="no messages"),
    pytest.param(
        chat_body(messages="x"), 400, "invalid_body", id="messages text"
    ),
    pytest.param(
        chat_body(messages=[1]), 400, "invalid_body", id="message number"
    ),
    pytest.param(
        chat_body(messages=[{"content": "x"}]),
        400,
        "invalid_body",
        id="no role",
    ),
    pytest.param(
        chat_body(messages=[{"role": "user", "content": 5}]),
        400,
        "invalid_body",
        id="content number",
    ),
    pytest.param(
        chat_body(stream="yes"), 400, "invalid_body", id="stream text"
    ),
    pytest.param(chat_body(n=2), 400, "invalid_body", id="two answers"),
    pytest.param(
        chat_body(max_tokens=0), 400, "invalid_body", id="zero tokens"
    ),
    pytest.param(
        chat_body(max_tokens=-5), 400, "invalid_body", id="below zero"
    ),
    pytest.param(
        chat_body(max_tokens=1e9), 400, "invalid_body", id="float tokens"
    ),
    pytest.param(
        chat_body(max_tokens=10**30), 400, "invalid_body", id="huge tokens"
    ),
    pytest.param(chat_body(max_tokens=9000), 400, "invalid_body", id="context"),
    pytest.param(chat_body(model="other"), 404, "unknown_model", id="model"),
    pytest.param(chat_body(model=7), 400, "invalid_body", id="model number"),
    pytest.param(b"x" * 1_000_001, 413, "body_too_large", id="large body"),
]

INVALID_HEADERS = [
    pytest.param({"Authorization": ""}, 401, "invalid_api_key", id="no key"),
    pytest.param(
        {"Authorization": "Bearer wrong"}, 401, "invalid_api_key", id="wrong"
    ),
    pytest.param(
        {"Authorization": "Basic eDp5"}, 401, "invalid_api_key", id="basic"
    ),
    pytest.param(
        {"Authorization": "Bearer \xe9"}, 400, "invalid_header", id="latin"
    ),
    pytest.param(
        {"Jasminetally-Event": "other"}, 403, "unknown_event", id="event"
    ),
    pytest.param(
        {"Jasminetally-Event": embedded_config.OTHER_EVENT},
        403,
        "unknown_event",
        id="event of another account",
    ),
    pytest.param({"Jasminetally-Tier": "x"}, 400, "unknown_tier", id="tier"),
    pytest.param(
        {"Jasminetally-Repeatable": "maybe"},
        400,
        "invalid_header",
        id="repeatable",
    ),
    pytest.param(
        {"Jasminetally-Repeatable": "false"}, 400, "key_required", id="no idem"
    ),
    pytest.param(
        {"Idempotency-Key": "k" * 300}, 400, "invalid_header", id="long key"
    ),
]

UNKNOWN_PATHS = [
    pytest.param("GET", "/v1/chat/completions", 405, id="method"),
    pytest.param("POST", "/v1/status", 405, id="status"),
    pytest.param("POST", "/v2/chat", 404, id="path"),
    pytest.param("POST", "/v1/services/none/x", 404, id="service"),
    pytest.param("POST", "/v1/services/board", 404, id="no path"),
    pytest.param("POST", "/v1/services/board/../../admin", 404, id="dots"),
    pytest.param("POST", "/v1/services/board/%2e%2e/x", 404, id="coded dots"),
]

MALFORMED_REQUESTS = [
    pytest.param(b"\x00\x01\x02\r\n\r\n", id="binary"),
    pytest.param(b"GET / FTP/1.1\r\n\r\n", id="protocol"),
    pytest.param(b"POST /v1/chat/completions HTTP/1.1\r\n\r\n", id="length"),
    pytest.param(
        b"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n"
        b"Content-Length: -5\r\n\r\n",
        id="negative length",
    ),
    pytest.param(
        b"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n"
        b"Content-Length: ten\r\n\r\n",
        id="length text",
    ),
    pytest.param(
        b"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n"
        b"Transfer-Encoding: chunked\r\n\r\nzz\r\n",
        id="chunk size",
    ),
    pytest.param(
        b"GET /v1/status HTTP/1.1\r\n" + b"A: b\r\n" * 20_000 + b"\r\n",
        id="many headers",
    ),
    pytest.param(
        b"GET /v1/status HTTP/1.1\r\nA: " + b"b" * 100_000 + b"\r\n\r\n",
        id="long header",
    ),
    pytest.param(b"GET /v1/status HTTP/1.1\r\nA\r\n\r\n", id="no colon"),
]


@pytest.fixture(autouse=True)
def no_tokens_spent(caller):
    """Check that a case runs nothing, spends nothing and stops no router."""
    caller.wait_until_settled()
    before = caller.read_record().budgets["general"]
    runs = caller.count_runs()
    yield
    assert caller.count_runs() == runs
    used = caller.wait_until_settled()
    after = caller.read_record().budgets["general"]
    assert after.settled == before.settled + used
    assert after.unbilled == before.unbilled


def assert_refused(response, status, code):
    error = json.loads(response.data)["error"]
    assert (response.status, error["code"]) == (status, code)
    assert error["message"] and error["type"] == "invalid_request"


@pytest.mark.parametrize(("data", "status", "code"), INVALID_BODIES)
def test_invalid_body_is_refused_with_the_reason(caller, data, status, code):
    """Guards against an invalid body that spends tokens or stops the router."""
    assert_refused(
        caller.send_request("POST", "/v1/chat/completions", body=data),
        status,
        code,
    )


@pytest.mark.parametrize(("headers", "status", "code"), INVALID_HEADERS)
def test_invalid_header_is_refused_with_the_reason(
    caller, headers, status, code
):
    """Guards against spending the tokens of another client account."""
    assert_refused(caller.send_chat(**headers), status, code)


@pytest.mark.parametrize(("method", "path", "status"), UNKNOWN_PATHS)
def test_unknown_path_is_refused(caller, method, path, status):
    """Guards against access to paths that are not part of the interface."""
    response = caller.send_request(
        method, path, body=b"{}" * (method == "POST")
    )
    assert response.status == status
    assert json.loads(response.data)["error"]["message"]


@pytest.mark.parametrize("data", MALFORMED_REQUESTS)
def test_malformed_request_gets_4xx_or_is_closed(caller, data):
    """Guards against a malformed request that blocks or ends a thread."""
    host, port = caller.address().split(":")
    with socket.create_connection((host, int(port)), timeout=30.0) as conn:
        # The router may refuse the request and close before it has read all of
        # it.
        with contextlib.suppress(OSError):
            conn.sendall(data)
            conn.shutdown(socket.SHUT_WR)
        with contextlib.suppress(ConnectionError):
            reply = conn.recv(4096)
            assert not reply or reply.split()[1][:1] == b"4"
