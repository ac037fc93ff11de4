"""Tests of what backend servers say of themselves in their responses."""

from __future__ import annotations

import asyncio
import itertools

import pytest

from testing.users_platform import test_requests

LEAVING = ("Server-Leaving: 1",)
BATCH_NUMBERS = itertools.count()


async def send_at_once(fleet, path="/read/", *, requests=12, router=0) -> set:
    """Send requests at once, so that all servers get some; return statuses."""
    prefix = f"batch-{next(BATCH_NUMBERS)}"
    responses = await asyncio.gather(
        *(
            fleet.send_request(
                path, router=router, request_id=f"{prefix}-{number}"
            )
            for number in range(requests)
        )
    )
    return {status for status, _, _ in responses}


async def learn_notice(fleet, server, path="/read/") -> None:
    """Send requests until a router has had a response of a server."""
    before = len(server.received_requests)
    for other in fleet.app_servers + fleet.pool_servers:
        other.delay_s = 0.02
    async with asyncio.timeout(10):
        while len(server.received_requests) == before:
            await send_at_once(fleet, path)


async def count_arrivals(fleet, server, *, router=0) -> int:
    """Send requests and return how many of them reach a server."""
    before = len(server.received_requests)
    for _ in range(3):
        assert await send_at_once(fleet, router=router) == {200}
    return len(server.received_requests) - before


@pytest.mark.parametrize("behaviour", ["well", "refuse", "fail"])
def test_server_that_says_it_leaves_gets_no_more_requests(
    run_with_fleet, behaviour
):
    """Guards against requests to a server whose entry still says ready."""

    async def scenario(fleet):
        server = fleet.app_servers[0]
        server.notice_headers = LEAVING
        server.behaviour = behaviour
        await learn_notice(fleet, server)
        server.behaviour = "well"
        assert await count_arrivals(fleet, server) == 0
        await test_requests.wait_until(
            lambda: fleet.get_log_events("server_leaving")
        )

    run_with_fleet(scenario)


def test_leaving_server_stays_unused_when_its_entry_comes_back(run_with_fleet):
    """Guards against an entry written again that makes the server usable."""

    async def scenario(fleet):
        server = fleet.app_servers[0]
        server.notice_headers = LEAVING
        await learn_notice(fleet, server)
        server.notice_headers = ()
        await fleet.store.remove("servers", server.name)
        await test_requests.wait_until(
            lambda: fleet.get_log_events("server_removed")
        )
        await fleet.store.put("servers", server.name, server.store_entry())
        await asyncio.sleep(1.0)
        assert await count_arrivals(fleet, server) == 0

    run_with_fleet(scenario)


def test_server_that_starts_again_under_its_id_is_used_again(run_with_fleet):
    """Guards against servers that are lost for good after a restart."""

    async def scenario(fleet):
        server = fleet.app_servers[0]
        server.notice_headers = LEAVING
        await learn_notice(fleet, server)
        server.notice_headers = ()
        server.born += 1
        await fleet.store.put("servers", server.name, server.store_entry())
        await asyncio.sleep(1.0)
        assert await count_arrivals(fleet, server) > 0

    run_with_fleet(scenario)


def test_stream_of_a_leaving_server_is_completed(run_with_fleet):
    """Guards against streams that are cut off when their server leaves."""

    async def scenario(fleet):
        for server in fleet.pool_servers:
            server.notice_headers = LEAVING
            server.delay_s = 0.05
        status, _, body = await fleet.send_request(
            "/digest/", tokens=test_requests.REQUEST_TOKENS
        )
        assert status == 200
        assert body == test_requests.expected_events(1, 4)

    run_with_fleet(scenario)


def test_other_routers_learn_that_a_server_leaves(run_with_fleet):
    """Guards against requests that each router sends before it is told."""

    async def scenario(fleet):
        server = fleet.app_servers[0]
        server.notice_headers = LEAVING
        await learn_notice(fleet, server)
        server.notice_headers = ()
        await asyncio.sleep(1.0)
        assert await count_arrivals(fleet, server, router=1) == 0

    run_with_fleet(scenario, routers=2)
