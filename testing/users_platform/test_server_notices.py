"""Tests of what backend servers say of themselves in their responses."""

from __future__ import annotations

import asyncio
import itertools
import time

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


PAUSE_S = 4.0
# Time after a server has asked for a pause in which the users do not count
# requests, and how many they allow after it.
PAUSE_SLACK_S = 0.5
MAX_ARRIVALS_IN_PAUSE = 2


def refuse_with(server, retry_after: str) -> None:
    server.behaviour = "refuse"
    server.notice_headers = (f"Retry-After: {retry_after}",)


def test_server_that_wants_a_pause_gets_no_request_until_its_end(
    run_with_fleet,
):
    """Guards against requests to a server that has turned the router away."""

    async def scenario(fleet):
        server = fleet.app_servers[0]
        refuse_with(server, f"{PAUSE_S}")
        # The pause begins after this time, so it ends after the last moment
        # from which an arrival counts.
        start_s = time.monotonic()
        await learn_notice(fleet, server)
        server.behaviour = "well"
        counted_from_s = time.monotonic() + PAUSE_SLACK_S
        arrivals_s = []
        server.on_request = lambda: arrivals_s.append(time.monotonic())
        while time.monotonic() < start_s + PAUSE_S:
            await count_arrivals(fleet, server)
        in_pause = [
            at_s
            for at_s in arrivals_s
            if counted_from_s < at_s < start_s + PAUSE_S
        ]
        assert len(in_pause) <= MAX_ARRIVALS_IN_PAUSE
        await asyncio.sleep(1.0)
        assert await count_arrivals(fleet, server) > 0

    run_with_fleet(scenario)


@pytest.mark.parametrize(
    "behaviour",
    [
        "refuse_interim",
        "refuse_until_close",
        "refuse_unfinished",
        "refuse_stray",
    ],
)
def test_pause_counts_however_the_response_arrives(run_with_fleet, behaviour):
    """Guards against a pause that is missed in a response that is unusual."""

    async def scenario(fleet):
        server = fleet.app_servers[0]
        refuse_with(server, "30")
        server.behaviour = behaviour
        await learn_notice(fleet, server)
        server.behaviour = "well"
        server.notice_headers = ()
        await asyncio.sleep(PAUSE_SLACK_S)
        assert await count_arrivals(fleet, server) <= MAX_ARRIVALS_IN_PAUSE

    run_with_fleet(scenario)


def test_pause_outlives_changes_of_the_servers_entry(run_with_fleet):
    """Guards against a pause that is lost with the entry, or in a restore."""

    async def scenario(fleet):
        server = fleet.app_servers[0]
        saved = fleet.store.take_copy()
        refuse_with(server, "30")
        await learn_notice(fleet, server)
        server.behaviour = "well"
        server.notice_headers = ()
        entry = {**server.store_entry(), "slots": 4, "sequence": 9}
        await fleet.store.put("servers", server.name, entry)
        await asyncio.sleep(1.0)
        assert await count_arrivals(fleet, server) == 0
        fleet.store.restore(saved)
        await asyncio.sleep(1.0)
        assert await count_arrivals(fleet, server) == 0

    run_with_fleet(scenario)


def test_request_is_refused_at_once_while_all_servers_pause(run_with_fleet):
    """Guards against requests held for servers that want none."""

    async def scenario(fleet):
        for server in fleet.app_servers:
            refuse_with(server, f"{PAUSE_S}")
        # No pause ends before this time and its length.
        start_s = time.monotonic()
        while not all(s.received_requests for s in fleet.app_servers):
            await send_at_once(fleet, "/flip/")
        await asyncio.sleep(PAUSE_SLACK_S)
        before = sum(len(s.received_requests) for s in fleet.app_servers)
        returns_s = []
        for number in range(20):
            status, headers, body = await fleet.send_request(
                "/flip/", request_id=f"paused-{number}"
            )
            assert (status, b"not_run" in body) == (503, True)
            returns_s.append(time.monotonic() + float(headers["retry-after"]))
        assert time.monotonic() < start_s + PAUSE_S
        after = sum(len(s.received_requests) for s in fleet.app_servers)
        assert after == before
        assert min(returns_s) >= start_s + PAUSE_S
        assert max(returns_s) - min(returns_s) > 0.05
        for server in fleet.app_servers:
            server.behaviour = "well"
            server.notice_headers = ()
        await asyncio.sleep(max(returns_s) - time.monotonic())
        status, _, _ = await fleet.send_request("/flip/", request_id="back")
        assert status == 200

    run_with_fleet(scenario)


@pytest.mark.parametrize("value", ["-1", "nan", "inf", "soon"])
def test_unreadable_pause_ends_soon(run_with_fleet, value):
    """Guards against a server that is not used again after a wrong value."""

    async def scenario(fleet):
        server = fleet.app_servers[0]
        refuse_with(server, value)
        await learn_notice(fleet, server)
        server.behaviour = "well"
        server.notice_headers = ()
        await asyncio.sleep(1.5)
        assert await count_arrivals(fleet, server) > 0
        await test_requests.wait_until(
            lambda: fleet.get_log_events("server_paused")
        )

    run_with_fleet(scenario)


def test_pause_outlives_an_entry_that_is_written_again(run_with_fleet):
    """Guards against a pause that ends when the store loses an entry."""

    async def scenario(fleet):
        server = fleet.app_servers[0]
        refuse_with(server, "30")
        await learn_notice(fleet, server)
        server.behaviour = "well"
        server.notice_headers = ()
        await fleet.store.remove("servers", server.name)
        await asyncio.sleep(0.8)
        await fleet.store.put("servers", server.name, server.store_entry())
        await asyncio.sleep(0.8)
        assert await count_arrivals(fleet, server) == 0

    run_with_fleet(scenario)


def test_limits_that_a_server_names_are_logged(run_with_fleet):
    """Guards against limits of servers of which the log tells nothing."""

    async def scenario(fleet):
        server = fleet.app_servers[0]
        for value in ("1", "2.5", "soon", None):
            server.notice_headers = (f"Server-Limit: {value}",) if value else ()
            await learn_notice(fleet, server)
        await test_requests.wait_until(
            lambda: len(fleet.get_log_events("server_limited")) > 2
        )
        assert [
            (event["server"], event["limit"], event["source"])
            for event in fleet.get_log_events("server_limited")
        ] == [(server.name, limit, "own") for limit in (1.0, 2.5, None)]
        unreadable = fleet.get_log_events("server_limit_unreadable")
        assert {event["value"] for event in unreadable} == {"soon"}

    run_with_fleet(scenario)


LIMIT_PER_S = 1.0
# Time after a limit is named first from which it is binding, the span over
# which arrivals are counted, and how many the users allow in it.
LIMIT_BINDING_AFTER_S = 3.0
LIMIT_WINDOW_S = 4.0
MAX_ARRIVALS_UNDER_LIMIT = 1.5 * LIMIT_PER_S * LIMIT_WINDOW_S + 5


def max_arrivals_in_window(arrivals_s, window_s) -> int:
    """Return the most arrivals in any span of a length."""
    return max(
        (
            sum(start_s <= at_s < start_s + window_s for at_s in arrivals_s)
            for start_s in arrivals_s
        ),
        default=0,
    )


def test_routers_together_keep_a_server_under_its_limit(run_with_fleet):
    """Guards against routers that each use up a limit for all of them."""

    async def scenario(fleet):
        server = fleet.app_servers[0]
        server.notice_headers = (f"Server-Limit: {LIMIT_PER_S}",)
        for router in range(3):
            await send_at_once(fleet, router=router)
        binding_s = time.monotonic() + LIMIT_BINDING_AFTER_S
        arrivals_s = []
        server.on_request = lambda: arrivals_s.append(time.monotonic())
        while time.monotonic() < binding_s + 1.5 * LIMIT_WINDOW_S:
            for router in range(3):
                assert await send_at_once(fleet, requests=2, router=router) == {
                    200
                }
            await asyncio.sleep(0.1)
        counted = [at_s for at_s in arrivals_s if at_s >= binding_s]
        most = max_arrivals_in_window(counted, LIMIT_WINDOW_S)
        assert 0 < most <= MAX_ARRIVALS_UNDER_LIMIT

    run_with_fleet(scenario, routers=3)


def test_request_is_refused_at_once_while_all_servers_are_at_their_limits(
    run_with_fleet,
):
    """Guards against requests held for servers, and returns that fail again."""

    async def scenario(fleet):
        for server in fleet.app_servers:
            server.notice_headers = ("Server-Limit: 0.5",)
            await learn_notice(fleet, server)
        async with asyncio.timeout(5):
            while await send_at_once(fleet, requests=1) == {200}:
                pass
        sent_s = time.monotonic()
        status, headers, body = await fleet.send_request(
            "/read/", request_id="at-limit"
        )
        assert (status, b"not_run" in body) == (503, True)
        retry_after_s = float(headers["retry-after"])
        await asyncio.sleep(sent_s + retry_after_s - time.monotonic())
        assert await send_at_once(fleet, requests=1) == {200}

    run_with_fleet(scenario)


def test_other_routers_learn_a_limit_and_its_end(run_with_fleet):
    """Guards against routers that each have to be told, or never are."""

    async def scenario(fleet):
        server = fleet.app_servers[0]
        for value in ("1", None):
            server.notice_headers = (f"Server-Limit: {value}",) if value else ()
            await learn_notice(fleet, server)
            limit = float(value) if value else None
            async with asyncio.timeout(5):
                while not any(
                    event["node"] == "node-1" and event["limit"] == limit
                    for event in fleet.get_log_events("server_limited")
                ):
                    await asyncio.sleep(0.05)

    run_with_fleet(scenario, routers=2)
