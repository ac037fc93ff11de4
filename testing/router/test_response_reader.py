"""Tests of the incremental HTTP response reader."""

from __future__ import annotations

import pytest

from jasminetally._router import response_reader

CHUNKED = (
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-Request-Id: a\r\n\r\n"
    b"5\r\nhello\r\n6;ext=1\r\n world\r\n0\r\n\r\n"
)


@pytest.mark.parametrize("step", [1, 2, 3, 7, 1000])
def test_chunked_body_does_not_depend_on_how_it_is_split(step):
    """Guards against losing bytes at the boundary of two reads."""
    reader = response_reader.ResponseReader()
    body = b"".join(
        reader.feed(CHUNKED[at : at + step])
        for at in range(0, len(CHUNKED), step)
    )
    assert body == b"hello world"
    assert reader.complete and reader.reusable
    assert reader.headers["x-request-id"] == "a"


def test_interim_response_is_skipped():
    """Guards against treating ``100 Continue`` as the answer."""
    reader = response_reader.ResponseReader()
    reader.feed(b"HTTP/1.1 100 Continue\r\n\r\n" + CHUNKED)
    assert reader.status == 200


def test_body_without_length_ends_when_the_connection_closes():
    """Guards against reusing a connection whose response has no framing."""
    reader = response_reader.ResponseReader()
    assert reader.feed(b"HTTP/1.1 200 OK\r\n\r\nabc") == b"abc"
    assert not reader.complete and not reader.reusable
    reader.finish()
    assert reader.complete


@pytest.mark.parametrize(
    "data",
    [
        pytest.param(CHUNKED[:-5], id="chunked"),
        pytest.param(
            b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc", id="length"
        ),
        pytest.param(b"HTTP/1.1 200", id="head"),
    ],
)
def test_truncated_response_is_an_error(data):
    """Guards against relaying a truncated answer as complete."""
    reader = response_reader.ResponseReader()
    reader.feed(data)
    with pytest.raises(ValueError, match="closed before"):
        reader.finish()


@pytest.mark.parametrize(
    "data",
    [
        pytest.param(CHUNKED + b"x", id="after chunks"),
        pytest.param(
            b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nab", id="after length"
        ),
        pytest.param(b"SSH-2.0-x\r\n\r\n", id="not http"),
        pytest.param(
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
            id="chunk size",
        ),
        pytest.param(b"x" * 70_000, id="endless head"),
    ],
)
def test_malformed_response_is_an_error(data):
    """Guards against adding bytes of another response to this answer."""
    with pytest.raises(ValueError):
        response_reader.ResponseReader().feed(data)
