"""Tests of connections to servers."""

from __future__ import annotations

import asyncio

import pytest

from jasminetally._forward import response_part
from jasminetally._forward import server_connection
from testing.shared import reply_cuts

HEAD = b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n"


def test_chunks_of_one_read_become_one_part():
    """Guards against a reader that gets hundreds of thousands of turns."""

    async def run():
        conn = server_connection.ServerConnection(lambda _: None)
        conn.data_received(HEAD + b"1\r\nx\r\n" * 10_000)
        conn.data_received(b"2\r\nyz\r\n0\r\n\r\n")
        return [await conn.next_part() for _ in range(4)]

    head, first, second, end = asyncio.run(run())
    assert isinstance(head, response_part.ResponseHead)
    assert first == response_part.BodyData(b"x" * 10_000)
    assert second == response_part.BodyData(b"yz")
    assert isinstance(end, response_part.ResponseEnd)


@pytest.mark.parametrize("exc", [None, ConnectionResetError()], ids=repr)
@pytest.mark.parametrize("interim", [b"", reply_cuts.INTERIM])
@pytest.mark.parametrize("framing", [*reply_cuts.FRAMINGS, "none"])
def test_cut_response_does_not_end(framing, interim, exc):
    """Guards against a cut head or body that is relayed as a whole answer."""
    reply = reply_cuts.Reply(200, b'{"tokens": 12}')
    data = interim + reply.encode(framing)
    body_at = len(interim) + len(reply.encode("none")) - len(reply.body)

    async def receive(received):
        conn = server_connection.ServerConnection(lambda _: None)
        conn.send_request(b"")
        conn.data_received(received)
        conn.connection_lost(exc)
        parts = []
        while not parts or not isinstance(
            parts[-1], response_part.ResponseEnd | response_part.ConnectionLost
        ):
            parts.append(await conn.next_part())
        return parts[-1]

    async def run():
        return [await receive(data[:offset]) for offset in range(len(data))]

    ends = asyncio.run(run())
    if framing == "none" and exc is None:
        ends = ends[:body_at]
    assert all(isinstance(end, response_part.ConnectionLost) for end in ends)
