"""Tests of the routers that notice silent watches on behalf of all others."""

from __future__ import annotations

import asyncio
import time

from testing.users_platform import test_silent_store

# Time by which a store that turns some routers away may delay a configuration.
PARTITION_S = 5.0
# Time after which all routers have determined the sentinels anew.
SETTLED_S = 1.0


async def find_sentinels(fleet) -> list[int]:
    """Return the numbers of the sentinels, once the routers agree on them."""
    await asyncio.sleep(SETTLED_S)
    last_event = fleet.get_log_events("sentinels_changed")[-1]
    return [int(name.split("-")[1]) for name in last_event["sentinels"]]


async def store_route(fleet) -> float:
    """Store a configuration with a new route; return when it was stored."""
    await fleet.store_configuration(
        routes=[fleet.make_route("/added/", "safe", "app")]
    )
    return time.monotonic()


async def assert_route_is_served(fleet, routers) -> None:
    for router in routers:
        status, _, _ = await fleet.send_request("/added/", router=router)
        assert status == 200


def test_silent_watches_are_noticed_when_the_sentinels_are_killed(
    run_with_fleet,
):
    """Guards against silent watches that nobody is left to notice. Issue 35."""

    async def scenario(fleet):
        sentinels = await find_sentinels(fleet)
        others = set(range(5)) - set(sentinels)
        silent_s = time.monotonic()
        fleet.store_proxy.silence_connections()
        for router in sentinels:
            await fleet.kill_router(router)
        stored_s = await store_route(fleet)
        await test_silent_store.sleep_until(
            max(
                silent_s + test_silent_store.CONTACT_S,
                stored_s + test_silent_store.CONFIG_APPLY_S,
            )
        )
        await assert_route_is_served(fleet, others)

    run_with_fleet(scenario, routers=5)


def test_silent_watches_are_noticed_when_the_store_rejects_the_sentinels(
    run_with_fleet,
):
    """Guards against sentinels that learn nothing themselves. Issue 35."""

    async def scenario(fleet):
        sentinels = await find_sentinels(fleet)
        others = set(range(5)) - set(sentinels)
        for router in sentinels:
            fleet.router_proxies[router].mode = "refuse"
            fleet.router_proxies[router].reset_connections()
        await asyncio.sleep(SETTLED_S)
        fleet.store_proxy.silence_connections()
        stored_s = await store_route(fleet)
        await test_silent_store.sleep_until(
            stored_s + test_silent_store.CONFIG_APPLY_S + PARTITION_S
        )
        await assert_route_is_served(fleet, others)

    run_with_fleet(scenario, routers=5)
