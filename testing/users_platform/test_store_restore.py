"""Tests of a store that comes back from a copy some seconds old."""

from __future__ import annotations

import asyncio

from testing.users_platform import test_requests
from testing.users_platform import test_server_notices

# Time after which routers have noticed that the store was restored.
NOTICED_S = 1.5


async def announce(fleet, server, state: str) -> None:
    await fleet.store.put("servers", server.name, server.store_entry(state))


def node_keys(store) -> list[tuple[str, str]]:
    """Return the keys of the routers' entries in a store or a copy of it."""
    return [key for key in store.objects if key[0] == "node"]


def test_changes_under_revisions_given_out_again_are_seen(run_with_fleet):
    """Guards against a watch that goes on from a revision of before."""

    async def scenario(fleet):
        saved = fleet.store.take_copy()
        for _ in range(2):
            await announce(fleet, fleet.app_servers[1], "ready")
        await asyncio.sleep(NOTICED_S)
        fleet.store.restore(saved)
        await announce(fleet, fleet.app_servers[0], "draining")
        for _ in range(4):
            await fleet.store_configuration()
        await asyncio.sleep(NOTICED_S)
        assert (
            await test_server_notices.count_arrivals(
                fleet, fleet.app_servers[0]
            )
            == 0
        )

    run_with_fleet(scenario)


def test_server_that_was_leaving_is_not_used_again(run_with_fleet):
    """Guards against an old entry that says ready."""

    async def scenario(fleet):
        saved = fleet.store.take_copy()
        await announce(fleet, fleet.app_servers[0], "draining")
        await asyncio.sleep(NOTICED_S)
        fleet.store.restore(saved)
        await asyncio.sleep(NOTICED_S)
        assert (
            await test_server_notices.count_arrivals(
                fleet, fleet.app_servers[0]
            )
            == 0
        )

    run_with_fleet(scenario)


def test_server_that_was_gone_is_not_used_until_its_entry_would_lapse(
    run_with_fleet,
):
    """Guards against an old entry of a server that has left."""

    async def scenario(fleet):
        saved = fleet.store.take_copy()
        await fleet.store.remove("servers", fleet.app_servers[0].name)
        await asyncio.sleep(NOTICED_S)
        fleet.store.restore(saved)
        await asyncio.sleep(NOTICED_S)
        assert (
            await test_server_notices.count_arrivals(
                fleet, fleet.app_servers[0]
            )
            == 0
        )

    run_with_fleet(scenario)


def test_server_missing_from_the_copy_stays_in_use(run_with_fleet):
    """Guards against refusals until all servers have registered again."""

    async def scenario(fleet):
        saved = fleet.store.take_copy()
        del saved.objects["servers", fleet.app_servers[0].name]
        fleet.store.restore(saved)
        await asyncio.sleep(0.6)
        assert (
            await test_server_notices.count_arrivals(
                fleet, fleet.app_servers[0]
            )
            > 0
        )
        await announce(fleet, fleet.app_servers[0], "ready")
        await asyncio.sleep(2.5)
        assert (
            await test_server_notices.count_arrivals(
                fleet, fleet.app_servers[0]
            )
            > 0
        )

    run_with_fleet(scenario)


def test_routers_write_their_entries_again(run_with_fleet):
    """Guards against routers that a later one can't find."""

    async def scenario(fleet):
        # Routers are ready before they have written their entries.
        await test_requests.wait_until(lambda: len(node_keys(fleet.store)) == 2)
        saved = fleet.store.take_copy()
        nodes = node_keys(saved)
        for key in nodes:
            del saved.objects[key]
        fleet.store.restore(saved)
        await test_requests.wait_until(
            lambda: all(key in fleet.store.objects for key in nodes)
        )
        assert fleet.get_log_events("store_restored")

    run_with_fleet(scenario, routers=2)
