"""Routers, store and configuration of the users' platform on loopback."""

from __future__ import annotations

import asyncio
import json

from testing.users_platform import local_fleet
from testing.users_platform import test_requests

TOKENS = (100, 50)
ROOM_FOR_TEN = 10 * (100 + 4 * local_fleet.TOKENS_PER_EVENT)


def test_configuration_change_is_in_force_and_never_reverts(deployed):
    """Guards against a route or key that comes back."""

    async def scenario(site):
        routes = [site._route("/new/", "safe", "app")]
        await site.configure(routes=routes)
        await test_requests.until(
            lambda: len(site.events("configuration_in_force")) == 2
        )
        assert (await site.request("/new/"))[0] == 200
        assert (await site.request("/read/"))[0] == 404
        site.version -= 6
        await site.configure()
        await asyncio.sleep(0.3)
        assert (await site.request("/read/"))[0] == 404

    deployed(scenario)


def test_unreadable_configuration_keeps_the_last_good_one(deployed):
    """Guards against a typing error that stops the service."""

    async def scenario(site):
        await site.configure(routes=[{"name": "half"}])
        await test_requests.until(lambda: site.events("configuration_rejected"))
        assert (await site.request("/read/"))[0] == 200

    deployed(scenario)


def test_draining_server_gets_no_new_work(deployed):
    """Guards against requests at a server that is about to exit."""

    async def scenario(site):
        leaving = site.apps[0]
        await site.store.put(
            "servers", leaving.name, leaving.store_entry("draining")
        )
        await test_requests.until(
            lambda: any(line["draining"] for line in site.events("server_seen"))
        )
        for number in range(10):
            await site.request("/read/", request_id=f"id-{number}")
        assert not leaving.received_requests

    deployed(scenario)


def test_entry_of_another_writer_harms_no_other(deployed):
    """Guards against one bad entry that hides all servers."""

    async def scenario(site):
        for name, entry in (
            ("bad-1", {"service": "app"}),
            ("bad-2", "not an object"),
            ("bad-3", {**site.apps[0].store_entry(), "slots": "many"}),
            ("bad-4", {**site.apps[0].store_entry(), "state": "asleep"}),
            ("bad-5", {**site.apps[0].store_entry(), "address": "nowhere"}),
        ):
            await site.store.put("servers", name, entry)
        await test_requests.until(
            lambda: len(site.events("server_entry_unreadable")) == 5
        )
        assert (await site.request("/read/"))[0] == 200

    deployed(scenario)


def test_lost_history_lists_the_servers_anew(deployed):
    """Guards against a router that misses a change for good."""

    async def scenario(site):
        gone = site.apps[0]
        site.store.objects.pop(("servers", gone.name))
        site.store.revision += 1_000
        site.store.compacted_revision = site.store.revision
        site.store.reset_connections()
        # Right after the connections were cut the entry may only have lapsed.
        await test_requests.until(
            lambda: any(
                line["server"] == gone.name
                for line in site.events("server_expired")
            )
        )
        assert (await site.request("/read/"))[0] == 200

    deployed(scenario)


def test_budget_is_refused_only_when_it_is_used_up(deployed):
    """Guards against overspending, and against refusing what was paid for."""

    async def scenario(site):
        statuses = []
        for number in range(40):
            status, _, _ = await site.request(
                "/digest/",
                tokens=TOKENS,
                request_id=f"id-{number}",
                router=number % 3,
            )
            statuses.append(status)
            await asyncio.sleep(0.02)
        assert set(statuses) == {200, 402}
        assert statuses.index(402) >= 8
        await test_requests.until(
            lambda: len(site.events("request_ended")) == 40
        )
        spent = sum(line["tokens"] for line in site.events("request_ended"))
        assert spent <= site.prepaid

    deployed(scenario, routers=3, prepaid=ROOM_FOR_TEN)


def test_killed_router_loses_little_of_the_budget(deployed):
    """Guards against an account that is refused after a router died."""

    async def scenario(site):
        for number in range(6):
            await site.request(
                "/digest/", tokens=TOKENS, request_id=f"a-{number}"
            )
        await site.kill_router(0)
        await site.start_router(0)
        await site.settle()
        served = 0
        for number in range(20):
            status, _, _ = await site.request(
                "/digest/",
                tokens=TOKENS,
                request_id=f"b-{number}",
                router=number % 3,
            )
            served += status == 200
            await asyncio.sleep(0.1)
        assert served >= 10
        spent = sum(line["tokens"] for line in site.events("request_ended"))
        assert spent <= site.prepaid

    deployed(scenario, routers=3, prepaid=4 * ROOM_FOR_TEN)


def test_outage_of_the_store_stops_no_request(deployed):
    """Guards against requests that depend on the store's answer."""

    async def scenario(site):
        await site.request("/digest/", tokens=TOKENS)
        site.store.down = True
        site.store.reset_connections()
        await test_requests.until(lambda: site.events("store_lost"))
        for number in range(10):
            status, _, _ = await site.request(
                "/digest/", tokens=TOKENS, request_id=f"id-{number}"
            )
            assert status == 200
        site.store.down = False
        await test_requests.until(
            lambda: len(site.events("store_reachable")) >= 2
        )

    deployed(scenario)


def test_write_with_a_lost_answer_takes_effect_once(deployed):
    """Guards against a record that is written twice or taken as missing."""

    async def scenario(site):
        # While a home is first taken, a request may have to come back.
        await site.request("/digest/", tokens=TOKENS)
        site.store.replies_to_lose = 3
        for number in range(10):
            status, _, _ = await site.request(
                "/digest/", tokens=TOKENS, request_id=f"id-{number}"
            )
            assert status == 200
            await asyncio.sleep(0.05)
        await test_requests.until(lambda: not site.store.replies_to_lose)
        assert not site.events("home_superseded")

    deployed(scenario)


def test_stopping_router_finishes_its_requests(deployed):
    """Guards against answers that a planned stop cuts off."""

    async def scenario(site):
        for engine in site.engines:
            engine.delay_s = 0.3
        answer = asyncio.ensure_future(site.request("/digest/", tokens=TOKENS))
        await test_requests.until(
            lambda: any(engine.running_requests for engine in site.engines)
        )
        site.nodes[0].stop()
        status, headers, body = await answer
        assert (status, body) == (200, test_requests.pieces(1, 4))
        late = await site.request("/read/", request_id="late")
        assert late[0] == 200
        assert late[1]["connection"] == "close"
        await asyncio.wait_for(site._tasks[0], 10)
        await test_requests.until(lambda: site.events("router_stopped"))
        assert site.events("router_stopped")[0]["aborted"] == 0
        addresses = await site.addresses(1)
        assert addresses == [site.settings[1].caller_address]

    deployed(scenario, routers=2)


def test_directory_names_routers_that_take_requests(deployed):
    """Guards against callers that are sent to a router that is not there."""

    async def scenario(site):
        everyone = {found.caller_address for found in site.settings}
        async with asyncio.timeout(10):
            while set(await site.addresses(0)) != everyone:
                await asyncio.sleep(0.1)
        await site.kill_router(1)
        left = everyone - {site.settings[1].caller_address}
        async with asyncio.timeout(10):
            while set(await site.addresses(0)) != left:
                await asyncio.sleep(0.1)

    deployed(scenario, routers=3)


def test_many_statuses_fetch_a_configuration_once(deployed):
    """Guards against a small instance's link full of one configuration.

    Found on the grown site: each status of a router with a newer version
    started a fetch of its own.
    """

    async def scenario(site):
        queries = []
        peers = site.nodes[1]._peers
        answer = peers.handle_message

        async def count(message):
            if type(message).__name__ == "DeploymentQuery":
                queries.append(message)
                await asyncio.sleep(0.5)
            return await answer(message)

        peers.handle_message = count
        for peer in list(site.nodes[1]._peer_servers):
            peer.close()
        site.store.down = True
        site.store.reset_connections()
        await test_requests.until(lambda: len(site.events("store_lost")) >= 2)
        state = site.nodes[1]._state
        newer = json.loads(state.tracker.encoded)
        newer["version"] += 5
        state.tracker.apply_if_newer(json.dumps(newer).encode(), "test")
        await test_requests.until(
            lambda: site.nodes[0]._state.tracker.version == newer["version"]
        )
        await asyncio.sleep(0.6)
        assert len(queries) == 1

    deployed(scenario, routers=2)
