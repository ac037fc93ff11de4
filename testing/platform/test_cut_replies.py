"""Tests of store replies that are cut before their end."""

from __future__ import annotations

import pytest

from jasminetally import _errors
from jasminetally._platform import http_client
from jasminetally._platform import http_transport
from testing.shared import reply_cuts

STATUSES = (200, 404, 409, 410, 412, 429, 500, 503)
VERSION = ('ETag: "7"', "Store-Version: 7")


@pytest.fixture
def transport(scripted):
    client = http_transport.HttpTransport(scripted.address)
    yield client
    client.close()


def is_whole(func) -> bool:
    """Call a function; return whether it took the reply as whole."""
    try:
        func()
    except _errors.OutcomeUnknownError as exc:
        return "status 500" in str(exc)
    except _errors.PlatformError:
        return True
    return True


@pytest.mark.parametrize(("reset", "kept"), reply_cuts.ALL_CUTS)
@pytest.mark.parametrize("framing", reply_cuts.FRAMINGS)
@pytest.mark.parametrize("method", ["GET", "PUT", "DELETE"])
def test_cut_reply_has_an_unknown_outcome(
    scripted, transport, method, framing, reset, kept
):
    """Guards against a cut head that counts as a reply without a body."""
    missed = {}
    whole = reply_cuts.Reply(200, b"{}").encode("length")
    for status in STATUSES if framing == "length" else (200,):
        reply = reply_cuts.Reply(status, b'{"a": 1}', VERSION)
        missed[status] = reply_cuts.cuts_taken_for_whole(
            scripted,
            lambda: is_whole(lambda: transport.request(method, "/a", b"x")),
            reply.encode(framing),
            whole=whole,
            reset=reset,
            kept=kept,
        )
    assert not any(missed.values()), missed


@pytest.mark.parametrize(("reset", "kept"), reply_cuts.ALL_CUTS)
def test_interim_response_is_not_the_reply(scripted, transport, reset, kept):
    """Guards against a write acknowledged by 102 or 103."""
    reply = reply_cuts.Reply(200, b"{}").encode("length")
    missed = reply_cuts.cuts_taken_for_whole(
        scripted,
        lambda: is_whole(lambda: transport.request("PUT", "/a", b"x")),
        reply_cuts.INTERIM + reply,
        whole=reply,
        reset=reset,
        kept=kept,
    )
    assert not missed
    scripted.replies = [reply_cuts.INTERIM + reply]
    assert transport.request("PUT", "/a", b"x").status == 200


@pytest.mark.parametrize(
    "head",
    [
        b"",
        b"Content-Length: x\r\n",
        b"Content-Length: -1\r\n",
        b"Content-Length: +2\r\n",
        b"Content-Length: 0_2\r\n",
        b"Content-Length: " + 5_000 * b"0" + b"2\r\n",
        b"Transfer-Encoding: chunked\r\n\r\n-2\r\n",
        b"Transfer-Encoding: gzip\r\n",
        b"X-Broken\r\nContent-Length: 2\r\n",
    ],
)
def test_reply_without_framing_has_an_unknown_outcome(
    scripted, transport, head
):
    """Guards against a body that can be cut without a trace."""
    scripted.replies = [b"HTTP/1.1 200 OK\r\n" + head + b"\r\n{}"]
    with pytest.raises(_errors.OutcomeUnknownError):
        transport.request("PUT", "/a", b"x")


def test_switch_of_protocols_has_an_unknown_outcome(scripted, transport):
    """Guards against a reply in a protocol that was not asked for."""
    scripted.replies = [b"HTTP/1.1 101 Switching Protocols\r\n\r\n"]
    with pytest.raises(_errors.OutcomeUnknownError):
        transport.request("PUT", "/a", b"x")


@pytest.mark.parametrize("reset", [False, True], ids=["fin", "reset"])
@pytest.mark.parametrize("verb", ["get", "create", "update", "delete", "watch"])
def test_cut_reply_is_not_a_result_of_the_platform(scripted, verb, reset):
    """Guards against an empty object or list, and writes of no version."""
    client = http_client.HttpPlatform(scripted.address)
    arguments = {
        "get": {},
        "create": {"value": b"x"},
        "update": {"value": b"x", "expected_version": 1},
        "delete": {"expected_version": 1},
        "watch": {"after_version": 1, "timeout_s": 1},
    }[verb]
    data = reply_cuts.Reply(200, b"[]", VERSION).encode("length")
    missed = reply_cuts.cuts_taken_for_whole(
        scripted,
        lambda: is_whole(lambda: getattr(client, verb)("a", **arguments)),
        data,
        whole=data,
        reset=reset,
        kept=False,
    )
    client.close()
    assert not missed


def test_reply_without_an_era_has_an_unknown_outcome(scripted):
    """Guards against a reply of an earlier era that can't be told from one."""
    client = http_transport.HttpTransport(scripted.address, era_header="Era")

    def get(status, *headers):
        reply = reply_cuts.Reply(status, b"{}", headers)
        scripted.replies = [reply.encode("length")]
        try:
            client.request("GET", "/a")
        finally:
            scripted.wait_until_closed()

    get(200)
    get(200, "Era: 0")
    for status, headers in ((200, ()), (404, ()), (503, ("Era: x",))):
        with pytest.raises(_errors.OutcomeUnknownError, match="era"):
            get(status, *headers)
    get(200, "Era: 0")
    client.close()
