"""Tests of routers that are partitioned from all backend servers."""

from __future__ import annotations

import asyncio
import contextlib
import itertools

import pytest

from testing.users_platform import http_messages
from testing.users_platform import test_requests

VARIANTS = ("hang", "refuse", "reset", "refuse_new")
# Time after a cut from which the users count requests, and the least share of
# the other routers' service that a cut-off router has to give.
CONTACT_S = 3.0
MIN_SERVICE_RATIO = 2 / 3
# Pause between two requests to a router, and the number of requests counted.
REQUEST_INTERVAL_S = 0.05
COUNTED_REQUESTS = 60
# Time that servers take then, so that kept connections are too few.
SERVER_DELAY_S = 0.2
REQUEST_NUMBERS = itertools.count()
# Path and options of one request for each kind of route.
REQUEST_KINDS = (
    ("/task/", {"tokens": test_requests.REQUEST_TOKENS}),
    ("/read/", {}),
    ("/flip/", {}),
    ("/digest/", {"tokens": test_requests.REQUEST_TOKENS}),
)


async def is_served(fleet, router: int) -> bool:
    """Send one request; return whether its whole answer arrives."""
    number = next(REQUEST_NUMBERS)
    path, options = REQUEST_KINDS[number % len(REQUEST_KINDS)]
    try:
        status, headers, _ = await fleet.send_request(
            path, router=router, request_id=f"cut-{number}", **options
        )
    except http_messages.DISCONNECT_EXCEPTIONS:
        return False
    return status == 200 and "x-jasminetally-server-signature" in headers


async def send_steadily(fleet, router: int, count: int) -> float:
    """Send requests to a router; return the share that is served."""
    tasks = []
    for _ in range(count):
        tasks.append(asyncio.ensure_future(is_served(fleet, router)))
        await asyncio.sleep(REQUEST_INTERVAL_S)
    served = await asyncio.gather(*tasks)
    return sum(served) / count


@contextlib.asynccontextmanager
async def steady_load(fleet):
    """Send requests to all routers in the background."""
    load = [
        asyncio.ensure_future(send_steadily(fleet, router, 10_000))
        for router in range(len(fleet.nodes))
    ]
    try:
        yield
    finally:
        for task in load:
            task.cancel()
        await asyncio.wait(load)


@pytest.mark.parametrize("variant", VARIANTS)
def test_cut_off_router_serves_its_callers(run_with_fleet, variant):
    """Guards against callers refused by a router that reaches no server."""

    async def scenario(fleet):
        for router in range(3):
            await send_steadily(fleet, router, 8)
        for server in fleet.pool_servers + fleet.app_servers:
            server.delay_s = SERVER_DELAY_S
        await fleet.cut_off_servers(0, variant)
        await send_steadily(fleet, 0, int(CONTACT_S / REQUEST_INTERVAL_S))
        cut_off, other = await asyncio.gather(
            send_steadily(fleet, 0, COUNTED_REQUESTS),
            send_steadily(fleet, 1, COUNTED_REQUESTS),
        )
        assert cut_off >= MIN_SERVICE_RATIO * other

    run_with_fleet(scenario, routers=3, own_server_paths=True)


def test_callers_are_not_sent_to_a_cut_off_router(run_with_fleet):
    """Guards against a directory that lists routers that reach no server."""

    async def scenario(fleet):
        async def addresses():
            found = [await fleet.get_router_addresses(n) for n in range(3)]
            assert found[0] == found[1] == found[2]
            return found[0]

        own = fleet.settings[0].caller_address
        async with steady_load(fleet):
            await asyncio.sleep(0.5)
            assert own in await addresses()
            await fleet.cut_off_servers(0, "hang")
            await asyncio.sleep(CONTACT_S)
            assert own not in await addresses()
            await fleet.restore_servers(0)
            await asyncio.sleep(CONTACT_S)
            assert own in await addresses()

    run_with_fleet(scenario, routers=3, own_server_paths=True)
