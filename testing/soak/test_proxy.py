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


def test_held_bytes_arrive_before_later_ones():
    """Guards against streams that a soak's own proxy puts out of order."""
    numbers = [b"%d\n" % number for number in range(400)]

    async def send_numbers(reader, writer):
        del reader
        for number in numbers:
            writer.write(number)
            await asyncio.sleep(0.001)
        writer.close()

    async def receive(address):
        host, port = address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        received = [line async for line in reader]
        writer.close()
        return received

    async def scenario():
        server = await asyncio.start_server(send_numbers, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        path = proxy.Proxy(f"127.0.0.1:{port}")
        await path.start()
        streams = [
            asyncio.ensure_future(receive(path.address)) for _ in range(10)
        ]
        for _ in range(6):
            await asyncio.sleep(0.03)
            await path.partition("hold")
            await asyncio.sleep(0.03)
            await path.heal()
        for received in await asyncio.gather(*streams):
            assert received == numbers
        path.stop()
        server.close()

    asyncio.run(scenario())
