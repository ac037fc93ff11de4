"""Tests of the proxy that injects faults."""

from __future__ import annotations

import asyncio

from testing.soak import proxy


def test_partitions_that_overlap_end_with_the_first_heal():
    """Guards against a soak that ends as its own ports are in use.

    Seed 841 to 850 of a run: two cuts of one router overlapped.
    """

    async def scenario():
        server = await asyncio.start_server(
            lambda reader, writer: writer.write(b"x"), "127.0.0.1", 0
        )
        port = server.sockets[0].getsockname()[1]
        path = proxy.Proxy(f"127.0.0.1:{port}")
        await path.start()
        await asyncio.gather(path.partition(), path.partition("hold"))
        await asyncio.gather(path.heal(), path.heal())
        host, port = path.address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        assert await reader.read(1) == b"x"
        writer.close()
        path.stop()
        server.close()

    asyncio.run(scenario())
