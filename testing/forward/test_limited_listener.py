"""Tests of the listener that limits its connections. Issue 72."""

from __future__ import annotations

import asyncio

import pytest

from jasminetally._deployment import caller_limits
from jasminetally._forward import caller_connection
from jasminetally._forward import limited_listener
from jasminetally._overload import client_refusals
from jasminetally._overload import listener_guard
from jasminetally._overload import memory_tracker
from testing.users_platform import port_block

LIMITS = caller_limits.CallerLimits(1_000, 1_000, 5.0, 5.0)
MAX_CONNECTIONS = 3
REQUEST = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"


@pytest.fixture(name="run_with_listener")
def make_runner():
    """Return a function that runs a scenario with a listener.

    Its requests are answered once ``answers`` is set.
    """

    def run(scenario):
        async def main():
            answers = asyncio.Event()
            reasons = []
            guard = listener_guard.ListenerGuard(
                "callers",
                memory_tracker.MemoryTracker(),
                MAX_CONNECTIONS,
                client_refusals.ClientRefusals(
                    lambda listener, reason: reasons.append(reason),
                    lambda report: None,
                ),
            )

            async def answer(caller, request):
                await answers.wait()
                caller.write_head(200, [], length=0)

            address = f"127.0.0.1:{port_block.free_port()}"
            listener = limited_listener.LimitedListener.start(
                address,
                lambda: caller_connection.CallerConnection(
                    answer, lambda: LIMITS, set(), guard=guard
                ),
                guard,
            )
            host, port = address.split(":")

            async def connect():
                return await asyncio.open_connection(host, int(port))

            try:
                async with asyncio.timeout(5):
                    await scenario(connect, guard, answers, reasons)
            finally:
                listener.close()
                listener.close()

        asyncio.run(main())

    return run


async def is_closed(reader):
    """Return whether the other side has closed a connection."""
    try:
        return await reader.read(1) == b""
    except ConnectionError:
        return True


def test_silent_connections_give_way_to_new_ones(run_with_listener):
    """Guards against clients that send nothing and keep callers out."""

    async def scenario(connect, guard, answers, reasons):
        answers.set()
        silent = [await connect() for _ in range(10 * MAX_CONNECTIONS)]
        reader, writer = await connect()
        writer.write(REQUEST)
        assert (await reader.readline()).startswith(b"HTTP/1.1 200 ")
        assert guard.connections.open_connections <= MAX_CONNECTIONS
        assert await is_closed(silent[0][0])
        assert set(reasons) == {"connections_full"}

    run_with_listener(scenario)


def test_new_connection_is_refused_while_all_have_requests(run_with_listener):
    """Guards against requests that are cut for new connections."""

    async def scenario(connect, guard, answers, reasons):
        busy = [await connect() for _ in range(MAX_CONNECTIONS)]
        for _, writer in busy:
            writer.write(REQUEST)
        await asyncio.sleep(0.1)
        refused, _ = await connect()
        assert await is_closed(refused)
        assert reasons == ["connections_full"]
        answers.set()
        for reader, _ in busy:
            assert (await reader.readline()).startswith(b"HTTP/1.1 200 ")

    run_with_listener(scenario)


def test_connections_that_end_leave_room(run_with_listener):
    """Guards against a count that only grows."""

    async def scenario(connect, guard, answers, reasons):
        for _ in range(5 * MAX_CONNECTIONS):
            _, writer = await connect()
            writer.close()
            while guard.connections.open_connections:
                await asyncio.sleep(0)
        assert not reasons

    run_with_listener(scenario)
