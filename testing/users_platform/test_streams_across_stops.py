"""Tests of streams that are under way while a router is being stopped."""

from __future__ import annotations

import asyncio

import pytest

from testing.users_platform import http_messages
from testing.users_platform import sample_configuration
from testing.users_platform import test_cut_off_routers
from testing.users_platform import test_planned_stops
from testing.users_platform import test_requests

EVENTS = 4


async def send_stream(fleet, number):
    """Send a request for a stream that can't be resumed; return the response.

    Every other body is sent in chunks.
    """
    reader, writer = await fleet.connect(0)
    options = {
        "request_id": f"id-{number}",
        "deadline_ms": 20_000,
        "tokens": test_requests.REQUEST_TOKENS,
    }
    try:
        if number % 2:
            writer.write(fleet.encode_request("/digest/", **options))
        else:
            writer.write(
                http_messages.encode_chunked_start("/digest/", **options)
            )
            writer.write(b"5\r\nhello\r\n")
            await asyncio.sleep(0.2)
            writer.write(b"0\r\n\r\n")
        return await fleet.read_response(reader)
    finally:
        writer.transport.abort()


async def drain_servers(fleet):
    for server in fleet.pool_servers:
        await fleet.store.put(
            "servers", server.name, server.store_entry("draining")
        )


async def remove_servers(fleet):
    for server in fleet.pool_servers:
        await fleet.store.remove("servers", server.name)


async def remove_routes(fleet):
    await fleet.store_configuration(
        routes=sample_configuration.make_default_routes()[-1:]
    )


async def revoke_keys(fleet):
    await fleet.store_configuration(tenants=[])


async def shorten_limits(fleet):
    limits = sample_configuration.make_configuration(0, [], [])["limits"]
    await fleet.store_configuration(
        limits={**limits, "header_timeout_ms": 100, "idle_timeout_ms": 100}
    )


async def signal_again(fleet):
    fleet.nodes[0].reload()
    fleet.nodes[0].stop()


async def stop_all(fleet):
    for router in fleet.nodes:
        router.stop()


async def lose_store(fleet):
    await fleet.store_proxy.partition()


@pytest.mark.parametrize("silent", [False, True])
@pytest.mark.parametrize(
    "change",
    [
        drain_servers,
        remove_servers,
        remove_routes,
        revoke_keys,
        shorten_limits,
        signal_again,
        stop_all,
        lose_store,
    ],
)
def test_streams_under_way_outlast_a_stop_and_a_change(
    run_with_fleet, change, silent
):
    """Guards against streams cut by what happens beside a stop. Issue 63."""

    async def scenario(fleet):
        await test_planned_stops.store_long_timeouts(fleet)
        for server in fleet.pool_servers:
            server.delay_s = 1.6 if silent else 0.8
            server.events_per_stream = 2 if silent else EVENTS
        responses = [
            asyncio.ensure_future(send_stream(fleet, number))
            for number in range(4)
        ]
        await test_requests.wait_until_running(
            fleet.pool_servers, len(responses)
        )
        fleet.nodes[0].stop()
        await asyncio.sleep(0.4)
        await change(fleet)
        events = 2 if silent else EVENTS
        for status, _, body in await asyncio.gather(*responses):
            assert status == 200
            assert body == test_requests.expected_events(1, events)

    run_with_fleet(
        scenario,
        routers=2,
        settings_changes={"grace_s": test_planned_stops.GRACE_S},
    )


@pytest.mark.parametrize("stopped", [(0,), (1,), (0, 1)])
def test_relayed_streams_outlast_a_stop_of_either_router(
    run_with_fleet, stopped
):
    """Guards against relayed streams cut by a stop. Issue 63."""

    async def scenario(fleet):
        await test_planned_stops.store_long_timeouts(fleet)
        async with test_cut_off_routers.cut_off_router(fleet):
            for server in fleet.pool_servers:
                server.delay_s = 0.8
            responses = [
                asyncio.ensure_future(send_stream(fleet, number))
                for number in range(4)
            ]
            await test_requests.wait_until_running(
                fleet.pool_servers, len(responses)
            )
            for number in stopped:
                fleet.nodes[number].stop()
            for status, _, body in await asyncio.gather(*responses):
                assert status == 200
                assert body == test_requests.expected_events(1, EVENTS)

    run_with_fleet(
        scenario,
        routers=2,
        own_server_paths=True,
        settings_changes={"grace_s": test_planned_stops.GRACE_S},
    )
