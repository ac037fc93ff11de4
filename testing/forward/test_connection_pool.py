"""Tests of the connections to backend servers."""

from __future__ import annotations

import asyncio
import socket
import time

import pytest

from jasminetally import _errors
from jasminetally._forward import connection_pool
from jasminetally._links import receive_meter
from testing.soak import proxy
from testing.users_platform import port_block


def test_connection_opens_although_the_event_loop_stood_still():
    """Guards against servers taken as unreachable while this process stood.

    Issue 27: all requests of a router were refused after it.
    """

    async def scenario():
        server = await asyncio.start_server(
            lambda reader, writer: None, "127.0.0.1", 0
        )
        port = server.sockets[0].getsockname()[1]
        pool = connection_pool.ConnectionPool()
        leases = [
            asyncio.ensure_future(
                pool.lease(f"127.0.0.1:{port}", repeatable=True)
            )
            for _ in range(5)
        ]
        await asyncio.sleep(0)
        # Blocks the event loop on purpose.
        time.sleep(connection_pool.CONNECT_TIMEOUT_S + 0.1)  # noqa: ASYNC251
        conns = await asyncio.gather(*leases)
        for conn in conns:
            conn.close()
        server.close()

    asyncio.run(scenario())


def test_server_that_refuses_connections_is_unreachable():
    """Guards against a refused connection that is not reported as such."""

    async def scenario():
        address = f"127.0.0.1:{port_block.free_port()}"
        pool = connection_pool.ConnectionPool()
        with pytest.raises(_errors.ServerUnreachableError) as info:
            await pool.lease(address, repeatable=True)
        assert isinstance(info.value.__cause__, ConnectionRefusedError)
        assert await pool.refuses_connections(address)

    asyncio.run(scenario())


def test_reason_names_a_handshake_without_an_answer():
    """Guards against log lines that can't tell a cut link from a refusal."""

    async def scenario():
        partition = proxy.Proxy("127.0.0.1:1")
        await partition.start()
        await partition.partition()
        pool = connection_pool.ConnectionPool()
        with pytest.raises(
            _errors.ServerUnreachableError, match="no answer to the TCP"
        ):
            await pool.lease(partition.address, repeatable=True)
        partition.stop()

    asyncio.run(scenario())


def test_router_on_a_full_link_waits_for_a_late_handshake():
    """Guards against sound servers given up because answers queue.

    The operating system repeats an unanswered handshake after a second.
    """

    async def scenario():
        listener = socket.create_server(("127.0.0.1", 0), backlog=0)
        listener.setblocking(False)
        host, port = listener.getsockname()
        address = f"{host}:{port}"
        loop = asyncio.get_running_loop()
        # Fills the queue of connections, so that the next handshake is lost.
        queued = socket.create_connection(listener.getsockname())
        impatient = connection_pool.ConnectionPool()
        with pytest.raises(_errors.ServerUnreachableError):
            await impatient.lease(address, repeatable=True)
        patient = connection_pool.ConnectionPool(
            patience=lambda: receive_meter.FULL_PATIENCE
        )
        lease = asyncio.ensure_future(patient.lease(address, repeatable=True))
        await asyncio.sleep(connection_pool.CONNECT_TIMEOUT_S)
        accepted, _ = await loop.sock_accept(listener)
        conn = await lease
        conn.close()
        for sock in (accepted, queued, listener):
            sock.close()

    asyncio.run(scenario())


def test_second_attempt_at_an_address_uses_a_new_connection():
    """Guards against a repeated refusal with the id of the same request."""

    async def scenario():
        server = await asyncio.start_server(
            lambda reader, writer: None, "127.0.0.1", 0
        )
        port = server.sockets[0].getsockname()[1]
        address = f"127.0.0.1:{port}"
        pool = connection_pool.ConnectionPool()
        kept = await pool.lease(address, repeatable=True)
        pool.release(address, kept)
        other = await pool.lease(address, repeatable=True, fresh=True)
        assert other is not kept
        assert await pool.lease(address, repeatable=True) is kept
        for conn in (kept, other):
            conn.close()
        server.close()

    asyncio.run(scenario())
