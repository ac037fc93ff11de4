"""Tests of frames and calls between routers."""

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

TAKE_TOKENS = peer_messages.TakeTokens("acme", 5, 10)


@pytest.mark.parametrize("size", [1, 3, 1_000])
def test_frames_are_read_however_the_bytes_are_split(size):
    """Guards against losing a message that spans several reads."""
    data = frame_codec.encode(7, TAKE_TOKENS) + frame_codec.encode(
        8, peer_messages.Ack()
    )
    reader = frame_codec.FrameReader()
    messages = []
    for start in range(0, len(data), size):
        messages += reader.feed(data[start : start + size])
    assert messages == [(7, TAKE_TOKENS), (8, peer_messages.Ack())]


@pytest.mark.parametrize(
    "data",
    [
        struct.pack("!II", 3, 1) + b"\xc1xx",
        struct.pack("!II", frame_codec.MAX_FRAME_BYTES + 1, 1),
    ],
)
def test_invalid_frame_is_rejected(data):
    """Guards against a router that stalls on bytes of another protocol."""
    with pytest.raises(frame_codec.FrameError):
        frame_codec.FrameReader().feed(data)


def run_with_server(handler, scenario, *, log=1):
    """Run a scenario with a client of a server that has this handler."""

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
        client = peer_client.PeerClient(f"127.0.0.1:{port}")
        try:
            return await scenario(client, server)
        finally:
            client.close()
            server.close()

    return asyncio.run(main())


def test_calls_are_answered_out_of_order():
    """Guards against a slow call that delays all others."""

    async def handler(message):
        await asyncio.sleep(0.2 if message.needed == 1 else 0)
        return peer_messages.TakeTokensReply(message.needed, 0, False, 0.0)

    async def scenario(client, server):
        calls = [
            client.call(
                peer_messages.TakeTokens("acme", needed, needed), timeout_s=5
            )
            for needed in (1, 2, 3)
        ]
        return [answer.tokens for answer in await asyncio.gather(*calls)]

    assert run_with_server(handler, scenario) == [1, 2, 3]


def test_call_without_an_answer_times_out():
    """Guards against a request that waits for a router that does not answer."""

    async def handler(message):
        await asyncio.sleep(60)

    async def scenario(client, server):
        with pytest.raises(_errors.PeerUnreachableError):
            await client.call(TAKE_TOKENS, timeout_s=0.1)

    run_with_server(handler, scenario)


def test_refused_connection_is_reported_as_unreachable():
    """Guards against an error that callers of the client do not handle."""

    async def scenario():
        client = peer_client.PeerClient("127.0.0.1:1")
        with pytest.raises(_errors.PeerUnreachableError) as caught:
            await client.call(TAKE_TOKENS, timeout_s=1)
        assert isinstance(caught.value.__cause__, ConnectionRefusedError)

    asyncio.run(scenario())


def test_exception_of_a_handler_is_logged():
    """Guards against an exception that is missing from the structured log.

    Seen on the users' bench: a handler failed, and only the interpreter
    reported it, as plain text.
    """
    reader, writer = os.pipe()

    async def handler(message):
        raise RuntimeError(f"handler can't process {message}")

    async def scenario(client, server):
        del server
        with pytest.raises(_errors.PeerUnreachableError):
            await client.call(peer_messages.Ack(), timeout_s=0.2)

    run_with_server(handler, scenario, log=writer)
    assert b"internal_error" in os.read(reader, 65_536)
