"""Tests of the messages between routers."""

from __future__ import annotations

import asyncio
import os
import struct

import pytest

from jasminetally import _errors
from jasminetally._observe import event_log
from jasminetally._peers import frame_codec
from jasminetally._peers import peer_client
from jasminetally._peers import peer_messages
from jasminetally._peers import peer_server
from jasminetally._shared import background_tasks

TAKE = peer_messages.TakeTokens("acme", 5, 10)


@pytest.mark.parametrize("size", [1, 3, 1_000])
def test_frames_survive_any_split(size):
    """Guards against messages lost at the border of two reads."""
    data = frame_codec.encode(7, TAKE) + frame_codec.encode(
        8, peer_messages.Ack()
    )
    reader = frame_codec.FrameReader()
    found = []
    for start in range(0, len(data), size):
        found += reader.feed(data[start : start + size])
    assert found == [(7, TAKE), (8, peer_messages.Ack())]


@pytest.mark.parametrize(
    "data",
    [
        struct.pack("!II", 3, 1) + b"\xc1xx",
        struct.pack("!II", frame_codec.FRAME_LIMIT_BYTES + 1, 1),
    ],
)
def test_bytes_that_are_no_frame_are_an_error(data):
    """Guards against a stranger on the port that stalls a router."""
    with pytest.raises(frame_codec.FrameError):
        frame_codec.FrameReader().feed(data)


def run_with_server(handler, client, *, log=1):
    async def main():
        loop = asyncio.get_running_loop()
        tasks = background_tasks.BackgroundTasks(
            event_log.EventLog(log, node="n")
        )
        server = await loop.create_server(
            lambda: peer_server.PeerServerConnection(handler, set(), tasks),
            "127.0.0.1",
            0,
        )
        port = server.sockets[0].getsockname()[1]
        link = peer_client.PeerClient(f"127.0.0.1:{port}")
        try:
            return await client(link, server)
        finally:
            link.close()
            server.close()

    return asyncio.run(main())


def test_calls_are_answered_out_of_order():
    """Guards against a slow call that delays all others."""

    async def handler(message):
        await asyncio.sleep(0.2 if message.needed == 1 else 0)
        return peer_messages.TakeTokensReply(message.needed, 0, False, 0.0)

    async def client(link, server):
        calls = [
            link.call(
                peer_messages.TakeTokens("acme", needed, needed), timeout_s=5
            )
            for needed in (1, 2, 3)
        ]
        return [answer.tokens for answer in await asyncio.gather(*calls)]

    assert run_with_server(handler, client) == [1, 2, 3]


def test_call_without_an_answer_fails_in_time():
    """Guards against a request that waits for a silent router."""

    async def handler(message):
        await asyncio.sleep(60)

    async def client(link, server):
        with pytest.raises(_errors.PeerUnreachableError):
            await link.call(TAKE, timeout_s=0.1)

    run_with_server(handler, client)


def test_router_that_is_gone_is_unreachable():
    """Guards against an error that is not the package's own."""

    async def client():
        link = peer_client.PeerClient("127.0.0.1:1")
        with pytest.raises(_errors.PeerUnreachableError) as caught:
            await link.call(TAKE, timeout_s=1)
        assert isinstance(caught.value.__cause__, ConnectionRefusedError)

    asyncio.run(client())


def test_fault_of_a_handler_is_logged():
    """Guards against faults that nothing but the interpreter reports.

    Found on the users' bench: a handler failed, and no structured line said so.
    """
    reader, writer = os.pipe()

    async def handler(message):
        raise RuntimeError(f"no way to handle {message}")

    async def client(link, server):
        del server
        with pytest.raises(_errors.PeerUnreachableError):
            await link.call(peer_messages.Ack(), timeout_s=0.2)

    run_with_server(handler, client, log=writer)
    assert b"internal_error" in os.read(reader, 65_536)
