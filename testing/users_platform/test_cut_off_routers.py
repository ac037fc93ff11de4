"""Tests of routers that are partitioned from all backend servers."""

from __future__ import annotations

import asyncio
import contextlib
import itertools

import pytest

from testing.users_platform import http_messages
from testing.users_platform import local_fleet
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
# Time after which requests on a cut link are reset: before the time limit of
# their route, and before the operating system gives the connections up.
RESET_S = 2.8
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


@contextlib.asynccontextmanager
async def cut_off_router(fleet, router: int = 0):
    """Cut a router off from all servers, and wait until it knows."""
    await fleet.cut_off_servers(router, "refuse")
    services = set()
    async with asyncio.timeout(20):
        while services != {"app", "pool"}:
            await is_served(fleet, router)
            services = {
                event["service"]
                for event in fleet.get_log_events("service_unreachable")
                if event["node"] == f"node-{router}"
            }
    yield
    await fleet.restore_servers(router)


def run_with_cut_off_router(run_with_fleet, scenario, **options):
    """Run a scenario with a fleet whose first router reaches no server."""

    async def run(fleet):
        async with cut_off_router(fleet):
            await scenario(fleet)

    run_with_fleet(run, **{"routers": 3, "own_server_paths": True, **options})


def test_relayed_stream_is_whole_and_charged_once(run_with_fleet):
    """Guards against tokens reserved or charged at both routers."""

    async def scenario(fleet):
        status, headers, body = await fleet.send_request(
            "/task/", request_id="one", tokens=test_requests.REQUEST_TOKENS
        )
        assert status == 200
        assert headers["x-jasminetally-attempt-id"] == "one"
        assert body == test_requests.expected_events(1, 4)
        await test_requests.wait_until(
            lambda: len(ended_lines(fleet, "one")) == 2
        )
        outcomes = {
            line["outcome"]: line["tokens"]
            for line in ended_lines(fleet, "one")
        }
        charged = 100 + 4 * local_fleet.TOKENS_PER_EVENT
        assert outcomes == {"relayed": 0, "answered_200": charged}

    run_with_cut_off_router(run_with_fleet, scenario)


def relayed_lines(fleet, request_id: str) -> list[dict]:
    """Return the log lines about a request sent to another router."""
    return [
        line
        for line in fleet.get_log_events("request_relayed")
        if line["request"] == request_id
    ]


def ended_lines(fleet, request_id: str) -> list[dict]:
    """Return the log lines about the end of a request, of all routers."""
    return [
        line
        for line in fleet.get_log_events("request_ended")
        if line["request"] == request_id
    ]


def test_server_gets_a_relayed_request_as_the_caller_sent_it(run_with_fleet):
    """Guards against headers between routers that reach a server."""

    async def scenario(fleet):
        status, _, body = await fleet.send_request(
            "/flip/x?y=1", request_id="flip", body=b"\x00\xff"
        )
        assert (status, body) == (200, b"answer to \x00\xff")
        (arrived,) = (
            request
            for server in fleet.app_servers
            for request in server.received_requests
            if request[2]["x-jasminetally-attempt-id"] == "flip"
        )
        method, target, headers, _ = arrived
        assert (method, target) == ("POST", "/flip/x?y=1")
        assert "jasminetally-relayed-by" not in headers
        assert "authorization" not in headers
        assert headers["x-jasminetally-tenant"] == "acme"

    run_with_cut_off_router(run_with_fleet, scenario)


def test_refusal_of_the_other_router_is_passed_on(run_with_fleet):
    """Guards against a reason or a time to come back that gets lost."""

    async def scenario(fleet):
        for server in fleet.app_servers:
            server.behaviour = "refuse"
            server.notice_headers = ("Retry-After: 20",)
        async with asyncio.timeout(10):
            while True:
                status, headers, body = await fleet.send_request("/flip/")
                assert status == 503
                if b"servers_paused" in body:
                    break
        assert float(headers["retry-after"]) > 10
        assert b"not_run" in body

    run_with_cut_off_router(run_with_fleet, scenario)


def test_relayed_request_ends_when_its_caller_leaves(run_with_fleet):
    """Guards against servers that work for callers who have left."""

    async def scenario(fleet):
        for server in fleet.app_servers:
            server.behaviour = "hang"
        reader, writer = await fleet.connect(0)
        del reader
        writer.write(fleet.encode_request("/flip/", request_id="left"))
        await test_requests.wait_until(
            lambda: any(s.running_requests for s in fleet.app_servers)
        )
        writer.transport.abort()
        await test_requests.wait_until(
            lambda: not any(s.running_requests for s in fleet.app_servers)
        )

    run_with_cut_off_router(run_with_fleet, scenario)


def test_lost_connection_to_the_other_router_is_not_reported_as_not_run(
    run_with_fleet,
):
    """Guards against a second run of a request that may not be repeated."""

    async def scenario(fleet):
        for server in fleet.app_servers:
            server.behaviour = "hang"
        pending = asyncio.ensure_future(
            fleet.send_request("/flip/", request_id="once")
        )
        await test_requests.wait_until(
            lambda: any(s.running_requests for s in fleet.app_servers)
        )
        await test_requests.wait_until(lambda: relayed_lines(fleet, "once"))
        (relayed,) = relayed_lines(fleet, "once")
        number = int(relayed["router"].partition("#")[0][-1])
        await fleet.kill_router(number)
        status, _, body = await pending
        assert (status, b"unknown" in body) == (502, True)
        await fleet.start_router(number)

    run_with_cut_off_router(run_with_fleet, scenario)


def test_request_is_refused_at_once_if_no_router_reaches_a_server(
    run_with_fleet,
):
    """Guards against requests passed round, or held until their deadline."""

    async def scenario(fleet):
        async with cut_off_router(fleet, 1):
            # Each tells the other at once, and again four times a second.
            await asyncio.sleep(2.0)
            before = len(fleet.get_log_events("attempt_failed"))
            for router in (0, 1):
                for path in ("/flip/", "/read/"):
                    status, headers, body = await fleet.send_request(
                        path, router=router
                    )
                    assert (status, b"not_run" in body) == (503, True)
                    assert b"servers_unreachable" in body
                    assert float(headers["retry-after"]) > 0
            await asyncio.sleep(0.1)
            assert len(fleet.get_log_events("attempt_failed")) == before

    run_with_cut_off_router(run_with_fleet, scenario, routers=2)


def test_callers_stay_where_the_servers_fail_for_all_routers(run_with_fleet):
    """Guards against directories without addresses when a service is down."""

    async def scenario(fleet):
        for router in range(3):
            await fleet.cut_off_servers(router, "refuse")
        async with steady_load(fleet):
            await asyncio.sleep(CONTACT_S)
        for router in range(3):
            assert len(await fleet.get_router_addresses(router)) == 3

    run_with_fleet(scenario, routers=3, own_server_paths=True)


def test_request_held_up_by_a_cut_does_not_arrive_after_it(run_with_fleet):
    """Guards against requests that reach a server long after they failed.

    Issue 23: such a server may have said meanwhile that it leaves.
    """

    async def scenario(fleet):
        await send_steadily(fleet, 0, 8)
        await fleet.cut_off_servers(0, "hold")
        pending = [
            asyncio.ensure_future(
                fleet.send_request("/flip/", request_id=f"held-{number}")
            )
            for number in range(2)
        ]
        await asyncio.sleep(RESET_S)
        await fleet.restore_servers(0)
        answers = await asyncio.gather(*pending)
        assert {status for status, _, _ in answers} <= {502, 503, 504}
        await asyncio.sleep(1.0)
        arrived = [
            request[2]["x-jasminetally-attempt-id"]
            for server in fleet.app_servers
            for request in server.received_requests
        ]
        assert not [name for name in arrived if name.startswith("held")]

    run_with_fleet(scenario, routers=1, own_server_paths=True)
