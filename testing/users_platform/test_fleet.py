"""Tests of routers with the store of the users' platform."""

from __future__ import annotations

import asyncio
import json

from jasminetally._forward import node_peers
from jasminetally._peers import peer_messages
from testing.users_platform import local_fleet
from testing.users_platform import test_requests

# Prompt tokens and largest number of output tokens of a request.
REQUEST_TOKENS = (100, 50)
TOKENS_OF_TEN_REQUESTS = 10 * (100 + 4 * local_fleet.TOKENS_PER_EVENT)


async def serve_first_request(fleet):
    """Send a request of the account until it is served.

    Until the first record of the account's shard is stored, a request may be
    refused as not run, with the time to come back.
    """
    for attempt in range(10):
        status, headers, _ = await fleet.send_request(
            "/digest/", tokens=REQUEST_TOKENS, request_id=f"first-{attempt}"
        )
        if status == 200:
            return
        assert status == 503
        await asyncio.sleep(float(headers["retry-after"]))
    raise AssertionError("no request is served")


def test_configuration_comes_into_force_and_never_reverts(run_with_fleet):
    """Guards against a removed route or key that becomes valid again."""

    async def scenario(fleet):
        routes = [fleet.make_route("/new/", "safe", "app")]
        await fleet.store_configuration(routes=routes)
        await test_requests.wait_until(
            lambda: len(fleet.get_log_events("configuration_in_force")) == 2
        )
        assert (await fleet.send_request("/new/"))[0] == 200
        assert (await fleet.send_request("/read/"))[0] == 404
        fleet.config_version -= 6
        await fleet.store_configuration()
        await asyncio.sleep(0.3)
        assert (await fleet.send_request("/read/"))[0] == 404

    run_with_fleet(scenario)


def test_invalid_configuration_leaves_the_last_valid_one_in_force(
    run_with_fleet,
):
    """Guards against an operator's typing error that stops the service."""

    async def scenario(fleet):
        await fleet.store_configuration(routes=[{"name": "half"}])
        await test_requests.wait_until(
            lambda: fleet.get_log_events("configuration_rejected")
        )
        assert (await fleet.send_request("/read/"))[0] == 200

    run_with_fleet(scenario)


def test_draining_server_gets_no_new_requests(run_with_fleet):
    """Guards against requests to a server that is about to exit."""

    async def scenario(fleet):
        draining_server = fleet.app_servers[0]
        await fleet.store.put(
            "servers",
            draining_server.name,
            draining_server.store_entry("draining"),
        )
        await test_requests.wait_until(
            lambda: any(
                line["draining"] for line in fleet.get_log_events("server_seen")
            )
        )
        for number in range(10):
            await fleet.send_request("/read/", request_id=f"id-{number}")
        assert not draining_server.received_requests

    run_with_fleet(scenario)


def test_invalid_server_entries_do_not_affect_valid_ones(run_with_fleet):
    """Guards against one invalid entry that makes all servers unusable.

    Any program that writes to the store may have written it.
    """

    async def scenario(fleet):
        for name, entry in (
            ("bad-1", {"service": "app"}),
            ("bad-2", "not an object"),
            ("bad-3", {**fleet.app_servers[0].store_entry(), "slots": "many"}),
            (
                "bad-4",
                {**fleet.app_servers[0].store_entry(), "state": "asleep"},
            ),
            (
                "bad-5",
                {**fleet.app_servers[0].store_entry(), "address": "nowhere"},
            ),
        ):
            await fleet.store.put("servers", name, entry)
        await test_requests.wait_until(
            lambda: len(fleet.get_log_events("server_entry_unreadable")) == 5
        )
        assert (await fleet.send_request("/read/"))[0] == 200

    run_with_fleet(scenario)


def test_servers_are_listed_again_after_the_history_is_lost(run_with_fleet):
    """Guards against a router that never learns of a removed server.

    The store discards its history, so no watch reports the removal.
    """

    async def scenario(fleet):
        removed_server = fleet.app_servers[0]
        fleet.store.objects.pop(("servers", removed_server.name))
        fleet.store.revision += 1_000
        fleet.store.compacted_revision = fleet.store.revision
        fleet.store.reset_connections()
        # The reset is shorter than an outage in which entries expire, so the
        # server is removed with the list that lacks it.
        await test_requests.wait_until(
            lambda: (
                removed_server.name
                not in fleet.get_log_events("servers_listed")[-1]["servers"]
            )
        )
        assert (await fleet.send_request("/read/"))[0] == 200

    run_with_fleet(scenario)


def test_requests_are_refused_only_when_the_budget_is_used_up(run_with_fleet):
    """Guards against overspending, and against refusals with tokens left."""

    async def scenario(fleet):
        await serve_first_request(fleet)
        statuses = [200]
        for number in range(1, 40):
            status, _, _ = await fleet.send_request(
                "/digest/",
                tokens=REQUEST_TOKENS,
                request_id=f"id-{number}",
                router=number % 3,
            )
            statuses.append(status)
            await asyncio.sleep(0.02)
        assert set(statuses) == {200, 402}
        assert statuses.index(402) >= 8
        await test_requests.wait_until(
            lambda: len(fleet.get_log_events("request_ended")) >= 40
        )
        spent = sum(
            line["tokens"] for line in fleet.get_log_events("request_ended")
        )
        assert spent <= fleet.prepaid_tokens

    run_with_fleet(scenario, routers=3, prepaid_tokens=TOKENS_OF_TEN_REQUESTS)


def test_killed_router_loses_few_tokens_of_the_budget(run_with_fleet):
    """Guards against refusals because a killed router held the tokens."""

    async def scenario(fleet):
        for number in range(6):
            await fleet.send_request(
                "/digest/", tokens=REQUEST_TOKENS, request_id=f"a-{number}"
            )
        await fleet.kill_router(0)
        await fleet.start_router(0)
        await fleet.wait_until_ready()
        served = 0
        for number in range(20):
            status, _, _ = await fleet.send_request(
                "/digest/",
                tokens=REQUEST_TOKENS,
                request_id=f"b-{number}",
                router=number % 3,
            )
            served += status == 200
            await asyncio.sleep(0.1)
        assert served >= 10
        spent = sum(
            line["tokens"] for line in fleet.get_log_events("request_ended")
        )
        assert spent <= fleet.prepaid_tokens

    run_with_fleet(
        scenario, routers=3, prepaid_tokens=4 * TOKENS_OF_TEN_REQUESTS
    )


def test_requests_succeed_during_a_store_outage(run_with_fleet):
    """Guards against requests that depend on a reply of the store."""

    async def scenario(fleet):
        await fleet.send_request("/digest/", tokens=REQUEST_TOKENS)
        fleet.store.down = True
        fleet.store.reset_connections()
        await test_requests.wait_until(
            lambda: fleet.get_log_events("store_lost")
        )
        for number in range(10):
            status, _, _ = await fleet.send_request(
                "/digest/", tokens=REQUEST_TOKENS, request_id=f"id-{number}"
            )
            assert status == 200
        fleet.store.down = False
        await test_requests.wait_until(
            lambda: len(fleet.get_log_events("store_reachable")) >= 2
        )

    run_with_fleet(scenario)


def test_write_with_a_lost_reply_takes_effect_once(run_with_fleet):
    """Guards against a record that is written twice or taken as not written."""

    async def scenario(fleet):
        # Until the shard of the account has its first owner, a request may be
        # refused and has to be sent again.
        await fleet.send_request("/digest/", tokens=REQUEST_TOKENS)
        fleet.store.replies_to_lose = 3
        for number in range(10):
            status, _, _ = await fleet.send_request(
                "/digest/", tokens=REQUEST_TOKENS, request_id=f"id-{number}"
            )
            assert status == 200
            await asyncio.sleep(0.05)
        await test_requests.wait_until(lambda: not fleet.store.replies_to_lose)
        assert not fleet.get_log_events("home_superseded")

    run_with_fleet(scenario)


def test_stopping_router_finishes_its_requests(run_with_fleet):
    """Guards against responses that a planned stop truncates."""

    async def scenario(fleet):
        for server in fleet.pool_servers:
            server.delay_s = 0.3
        response = asyncio.ensure_future(
            fleet.send_request("/digest/", tokens=REQUEST_TOKENS)
        )
        await test_requests.wait_until(
            lambda: any(
                server.running_requests for server in fleet.pool_servers
            )
        )
        fleet.nodes[0].stop()
        status, headers, body = await response
        assert (status, body) == (200, test_requests.expected_events(1, 4))
        late_response = await fleet.send_request("/read/", request_id="late")
        assert late_response[0] == 200
        assert late_response[1]["connection"] == "close"
        await asyncio.wait_for(fleet._router_tasks[0], 10)
        await test_requests.wait_until(
            lambda: fleet.get_log_events("router_stopped")
        )
        assert fleet.get_log_events("router_stopped")[0]["aborted"] == 0
        addresses = await fleet.get_router_addresses(1)
        assert addresses == [fleet.settings[1].caller_address]

    run_with_fleet(scenario, routers=2)


def test_directory_lists_the_running_routers(run_with_fleet):
    """Guards against callers that are sent to a router that has ended."""

    async def scenario(fleet):
        all_addresses = {router.caller_address for router in fleet.settings}
        async with asyncio.timeout(10):
            while set(await fleet.get_router_addresses(0)) != all_addresses:
                await asyncio.sleep(0.1)
        await fleet.kill_router(1)
        remaining = all_addresses - {fleet.settings[1].caller_address}
        async with asyncio.timeout(10):
            while set(await fleet.get_router_addresses(0)) != remaining:
                await asyncio.sleep(0.1)

    run_with_fleet(scenario, routers=3)


def test_newer_configuration_is_fetched_once_despite_many_statuses(
    run_with_fleet, monkeypatch
):
    """Guards against fetches of one configuration that fill a slow link.

    In a large deployment, each status of a router with a newer version
    started another fetch.
    """
    queried_routers = []
    handle_message = node_peers.NodePeers.handle_message

    async def count_queries(self, message):
        if isinstance(message, peer_messages.DeploymentQuery):
            queried_routers.append(self)
            await asyncio.sleep(0.5)
        return await handle_message(self, message)

    # Replaced before the fleet starts: each connection keeps the handler that
    # it was made with.
    monkeypatch.setattr(node_peers.NodePeers, "handle_message", count_queries)

    async def scenario(fleet):
        fleet.store.down = True
        fleet.store.reset_connections()
        await test_requests.wait_until(
            lambda: len(fleet.get_log_events("store_lost")) >= 2
        )
        queried_routers.clear()
        state = fleet.nodes[1]._state
        newer = json.loads(state.tracker.encoded)
        newer["version"] += 5
        state.tracker.apply_if_newer(json.dumps(newer).encode(), "test")
        await test_requests.wait_until(
            lambda: fleet.nodes[0]._state.tracker.version == newer["version"]
        )
        await asyncio.sleep(0.6)
        assert queried_routers == [fleet.nodes[1]._peers]

    run_with_fleet(scenario, routers=2)
