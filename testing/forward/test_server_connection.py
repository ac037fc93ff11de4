"""Tests of connections to servers."""

from __future__ import annotations

import asyncio

from jasminetally._forward import response_part
from jasminetally._forward import server_connection

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
