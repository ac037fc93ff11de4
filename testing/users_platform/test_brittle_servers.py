"""Tests of servers that fall over if they have to reject many requests."""

from __future__ import annotations

import asyncio
import random
import time

import pytest

from testing.users_platform import brittle_server
from testing.users_platform import http_messages

SERVERS = 4
ROUTERS = 3
# Time after the servers first say that they are brittle from which falls count,
# and how many the users allow.
CONTACT_S = 3.0
MAX_FALLS = 2 + SERVERS / 10
LOAD_S = 12.0


async def send_load(fleet, load: float) -> int:
    """Send requests at random times; return how many were answered.

    Args:
        fleet: The fleet.
        load: Rate of requests, as a multiple of what the servers can do.
    """
    rng = random.Random(1)
    rate_per_s = load * SERVERS * brittle_server.CAPACITY_PER_S
    end_s = time.monotonic() + LOAD_S
    tasks = []
    while time.monotonic() < end_s:
        await asyncio.sleep(rng.expovariate(rate_per_s))
        tasks.append(asyncio.ensure_future(_is_answered(fleet, len(tasks))))
    return sum(await asyncio.gather(*tasks))


async def _is_answered(fleet, number: int) -> bool:
    try:
        status, _, _ = await fleet.send_request(
            "/read/", router=number % ROUTERS, request_id=f"load-{number}"
        )
    except http_messages.DISCONNECT_EXCEPTIONS:
        return False
    return status == 200


@pytest.mark.parametrize("load", [1.5, 3.0])
def test_brittle_servers_do_not_fall_over_under_overload(run_with_fleet, load):
    """Guards against rejections that end one server after the other."""

    async def scenario(fleet):
        for server in fleet.app_servers:
            server.notice_headers = (
                f"Server-Brittle: {brittle_server.MAX_REJECTIONS_PER_S}",
            )
        binding_s = time.monotonic() + CONTACT_S
        answered = await send_load(fleet, load)
        falls = [
            fall_s
            for server in fleet.app_servers
            for fall_s in server.falls_s
            if fall_s >= binding_s
        ]
        assert answered > 0
        assert len(falls) <= MAX_FALLS

    run_with_fleet(
        scenario,
        routers=ROUTERS,
        app_servers=SERVERS,
        make_app_server=brittle_server.BrittleServer,
    )
