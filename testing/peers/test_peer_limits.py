"""Tests of what connections of other routers may hold. Issue 72."""

from __future__ import annotations

import asyncio
import struct

import pytest

from jasminetally._overload import client_refusals
from jasminetally._overload import listener_guard
from jasminetally._overload import memory_tracker
from jasminetally._overload import object_costs
from jasminetally._peers import frame_codec
from jasminetally._peers import peer_messages
from jasminetally._peers import peer_server
from jasminetally._shared import background_tasks

QUERY = frame_codec.encode(1, peer_messages.DeploymentQuery())
TIMEOUT_S = 5.0


@pytest.fixture(name="run_with_server")
def make_runner(log):
    """Return a function that runs a scenario with a server and its guard.

    The scenario gets a connected reader and writer, the server's connections
    and the reasons of refusals.
    """

    def run(handler, scenario, *, limit_bytes=10_000_000):
        async def main():
            reasons, connections = [], set()
            guard = listener_guard.ListenerGuard(
                "peers",
                memory_tracker.MemoryTracker(limit_bytes),
                10,
                client_refusals.ClientRefusals(
                    lambda listener, reason: reasons.append(reason),
                    lambda report: None,
                ),
            )
            tasks = background_tasks.BackgroundTasks(log)
            server = await asyncio.get_running_loop().create_server(
                lambda: peer_server.PeerServerConnection(
                    handler, connections, tasks, guard
                ),
                "127.0.0.1",
                0,
            )
            reader, writer = await asyncio.open_connection(
                *server.sockets[0].getsockname()
            )
            try:
                async with asyncio.timeout(TIMEOUT_S):
                    await scenario(reader, writer, connections, reasons)
            finally:
                writer.transport.abort()
                server.close()

        asyncio.run(main())

    return run


async def answer_at_once(message):
    """Answer a message of any kind."""
    return peer_messages.Ack()


def test_calls_of_one_connection_are_limited(run_with_server):
    """Guards against a router that starts thousands of handlers at a time."""
    running = []
    most = []
    go_on = asyncio.Event()

    async def handler(message):
        running.append(message)
        most.append(len(running))
        await go_on.wait()
        running.pop()
        return peer_messages.Ack()

    async def scenario(reader, writer, connections, reasons):
        calls = 3 * peer_server.CONCURRENT_CALLS_LIMIT
        writer.write(calls * QUERY)
        await asyncio.sleep(0.1)
        assert len(running) == peer_server.CONCURRENT_CALLS_LIMIT
        go_on.set()
        answer = frame_codec.encode(1, peer_messages.Ack())
        assert await reader.readexactly(calls * len(answer)) == calls * answer
        assert max(most) <= peer_server.CONCURRENT_CALLS_LIMIT
        assert not reasons

    run_with_server(handler, scenario)


def test_message_that_may_never_fit_closes_the_connection(run_with_server):
    """Guards against a message whose objects exceed the memory."""

    async def scenario(reader, writer, connections, reasons):
        size = 100_000
        writer.write(struct.pack("!II", size, 1) + size * b"x")
        with pytest.raises((ConnectionError, asyncio.IncompleteReadError)):
            await reader.readexactly(1)
        assert reasons == ["message_too_large"]

    run_with_server(
        answer_at_once,
        scenario,
        limit_bytes=100_000 * object_costs.MESSAGE_EXPANSION,
    )


def test_unfinished_message_is_given_up(run_with_server):
    """Guards against a frame that never ends and keeps its memory."""

    async def scenario(reader, writer, connections, reasons):
        writer.write(QUERY[:-1])
        while not connections:
            await asyncio.sleep(0.01)
        (conn,) = connections
        await asyncio.sleep(0.1)
        now_s = asyncio.get_running_loop().time()
        conn.enforce_timeouts(now_s + peer_server.MESSAGE_TIMEOUT_S - 1)
        assert not reasons
        conn.enforce_timeouts(now_s + peer_server.MESSAGE_TIMEOUT_S + 1)
        assert reasons == ["message_too_slow"]

    run_with_server(answer_at_once, scenario)


def test_idle_connection_is_kept(run_with_server):
    """Guards against routers that must connect again after each pause."""

    async def scenario(reader, writer, connections, reasons):
        writer.write(QUERY)
        await reader.readexactly(8)
        (conn,) = connections
        conn.enforce_timeouts(asyncio.get_running_loop().time() + 1_000)
        assert not reasons

    run_with_server(answer_at_once, scenario)
