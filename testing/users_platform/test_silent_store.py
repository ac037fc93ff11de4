"""Tests of connections to the store that go silent without being closed."""

from __future__ import annotations

import asyncio
import time

from testing.users_platform import test_requests
from testing.users_platform import test_server_notices

# Time after the loss of connections from which the users expect routers to
# keep the bounds again, and the bounds for a configuration and a leaving
# server, which start at the store's acknowledgement.
CONTACT_S = 3.0
CONFIG_APPLY_S = 2.0
DRAIN_S = 2.0


async def sleep_until(at_s: float) -> None:
    """Wait until a monotonic time in seconds."""
    await asyncio.sleep(at_s - time.monotonic())


def test_configuration_is_in_force_in_time_while_watches_are_silent(
    run_with_fleet,
):
    """Guards against routers that wait for a watch that never returns."""

    async def scenario(fleet):
        silent_s = time.monotonic()
        fleet.store_proxy.silence_connections()
        added = fleet.make_route("/added/", "safe", "app")
        await fleet.store_configuration(routes=[added])
        stored_s = time.monotonic()
        await sleep_until(max(silent_s + CONTACT_S, stored_s + CONFIG_APPLY_S))
        for router in range(3):
            statuses = [
                (await fleet.send_request(path, router=router))[0]
                for path in ("/added/", "/read/")
            ]
            assert statuses == [200, 404]

    run_with_fleet(scenario, routers=3)


def test_leaving_server_gets_no_requests_while_watches_are_silent(
    run_with_fleet,
):
    """Guards against requests to a server whose entry says that it leaves."""

    async def scenario(fleet):
        server = fleet.app_servers[0]
        silent_s = time.monotonic()
        fleet.store_proxy.silence_connections()
        await fleet.store.put(
            "servers", server.name, server.store_entry("draining")
        )
        stored_s = time.monotonic()
        await sleep_until(max(silent_s + CONTACT_S, stored_s + DRAIN_S))
        before = len(server.received_requests)
        for router in range(3):
            assert await test_server_notices.send_at_once(
                fleet, router=router
            ) == {200}
        assert len(server.received_requests) == before

    run_with_fleet(scenario, routers=3)


def test_router_alone_notices_that_its_watches_are_silent(run_with_fleet):
    """Guards against a router that only other routers can tell of changes."""

    async def scenario(fleet):
        silent_s = time.monotonic()
        fleet.store_proxy.silence_connections()
        added = fleet.make_route("/added/", "safe", "app")
        await fleet.store_configuration(routes=[added])
        stored_s = time.monotonic()
        await sleep_until(max(silent_s + CONTACT_S, stored_s + CONFIG_APPLY_S))
        status, _, _ = await fleet.send_request("/added/")
        assert status == 200
        await test_requests.wait_until(
            lambda: len(fleet.get_log_events("configuration_in_force")) == 2
        )

    run_with_fleet(scenario)
