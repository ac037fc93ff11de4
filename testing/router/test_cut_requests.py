"""Tests of callers' requests that are cut before their end."""

from __future__ import annotations

import socket

import pytest

from jasminetally._router import embedded_config

HEAD = (
    "POST /v1/services/board/tasks HTTP/1.1\r\nHost: x\r\n"
    f"Authorization: Bearer {embedded_config.API_KEY}\r\n"
    f"Jasminetally-Event: {embedded_config.EVENT}\r\n"
)
REQUESTS = [
    pytest.param("Content-Length: 10\r\n\r\n", b"half whole", id="length"),
    pytest.param(
        "Transfer-Encoding: chunked\r\n\r\n",
        b"00000005\r\nhalf \r\n00000005\r\nwhole\r\n0000\r\n\r\n",
        id="padded chunks",
    ),
]


def send(caller, data: bytes) -> bytes:
    """Send bytes and the end of a connection; return the status code."""
    host, port = caller.address().split(":")
    with socket.create_connection((host, int(port)), timeout=30.0) as conn:
        conn.sendall(data)
        conn.shutdown(socket.SHUT_WR)
        reply = conn.recv(4096)
        return reply.split()[1] if reply else b""


@pytest.mark.parametrize(("framing", "body"), REQUESTS)
def test_cut_body_is_not_run(caller, framing, body):
    """Guards against a task that runs with a part of its body."""
    head = (HEAD + framing).encode()
    # After the line of the last chunk, an empty trailer is all that is missing.
    end = len(body) - 2 * body.endswith(b"\r\n\r\n")
    taken = [
        offset
        for offset in range(end)
        if send(caller, head + body[:offset])[:1] not in (b"", b"4")
    ]
    assert not taken, len(taken)
    assert send(caller, head + body) == b"200"
