"""Tests of requests that reach a router while it is being stopped."""

from __future__ import annotations

import asyncio
import contextlib
import time

import pytest

from testing.users_platform import http_messages
from testing.users_platform import sample_configuration
from testing.users_platform import test_requests

# Time within which the users' platform lets a process end.
GRACE_S = 8.0
# Requests sent later than this after the signal must be answered whole or
# refused, whatever time the servers take.
SENT_LATE_S = 3.0
LATE_TIMES_S = (3.02, 3.06, 3.1, 3.15)
EVENTS = 4


async def store_long_timeouts(fleet) -> None:
    """Let requests take long, and wait until all routers know."""
    routes = [
        {**route, "timeout_ms": 20_000}
        for route in sample_configuration.make_default_routes()
    ]
    before = len(fleet.get_log_events("configuration_in_force"))
    await fleet.store_configuration(routes=routes)
    await test_requests.wait_until(
        lambda: (
            len(fleet.get_log_events("configuration_in_force"))
            >= before + len(fleet.nodes)
        )
    )


async def send_late(fleet, path, number, **options):
    """Send a request on a connection that was opened before the signal.

    Returns:
        The response; None if the connection ended without a whole one.
    """
    reader, writer = await fleet.connect(0)
    try:
        await asyncio.sleep(LATE_TIMES_S[number])
        writer.write(
            fleet.encode_request(path, request_id=f"late-{number}", **options)
        )
        with contextlib.suppress(asyncio.IncompleteReadError, OSError):
            return await fleet.read_response(reader)
        return None
    finally:
        writer.transport.abort()


@pytest.mark.parametrize(
    ("path", "options"),
    [
        ("/task/", {"tokens": test_requests.REQUEST_TOKENS}),
        ("/digest/", {"tokens": test_requests.REQUEST_TOKENS}),
        ("/flip/", {}),
    ],
)
def test_late_requests_are_answered_whole_or_refused(
    run_with_fleet, path, options
):
    """Guards against requests cut at the end of the process. Issue 60."""

    async def scenario(fleet):
        await store_long_timeouts(fleet)
        for server in fleet.pool_servers:
            server.delay_s = 5.4 / EVENTS
        for server in fleet.app_servers:
            server.delay_s = 5.4
        fleet.nodes[0].stop()
        responses = await asyncio.gather(
            *(
                send_late(
                    fleet,
                    path,
                    number,
                    key=http_messages.API_KEY,
                    deadline_ms=20_000,
                    **options,
                )
                for number in range(len(LATE_TIMES_S))
            )
        )
        for response in responses:
            assert response is not None
            status, headers, body = response
            assert status == 200 or (status == 503 and b"not_run" in body)
            assert headers["connection"] == "close"
        arrived = [
            request
            for server in fleet.pool_servers + fleet.app_servers
            for request in server.received_requests
        ]
        assert len(arrived) == sum(status == 200 for status, _, _ in responses)

    run_with_fleet(
        scenario,
        routers=2,
        settings_changes={"grace_s": GRACE_S},
    )


def test_short_requests_are_still_served_after_the_signal(run_with_fleet):
    """Guards against a stop that refuses what it could answer."""

    async def scenario(fleet):
        for number in range(4):
            await fleet.send_request("/read/", request_id=f"before-{number}")
        fleet.nodes[0].stop()
        for number in range(10):
            status, _, _ = await fleet.send_request(
                "/read/", request_id=f"after-{number}"
            )
            assert status == 200
            await asyncio.sleep(0.2)

    run_with_fleet(scenario, routers=2)


def test_request_under_way_when_the_process_ends_gets_an_error(
    run_with_fleet,
):
    """Guards against a connection that ends without a response."""

    async def scenario(fleet):
        await store_long_timeouts(fleet)
        for server in fleet.app_servers:
            server.behaviour = "hang"
        responses = [
            asyncio.ensure_future(
                fleet.send_request(path, request_id=path, deadline_ms=20_000)
            )
            for path in ("/flip/", "/read/")
        ]
        await test_requests.wait_until_running(
            fleet.app_servers, len(responses)
        )
        fleet.nodes[0].stop()
        # It may have run, so the error doesn't say that it has not.
        assert [
            status for status, _, _ in await asyncio.gather(*responses)
        ] == [502, 502]

    run_with_fleet(scenario, routers=2, settings_changes={"grace_s": 2.0})


@pytest.mark.parametrize("waiting", [1, 3])
def test_requests_sent_behind_another_are_answered_across_a_stop(
    run_with_fleet, waiting
):
    """Guards against requests that were read and get no response. Issue 63."""

    async def scenario(fleet):
        for server in fleet.app_servers:
            server.delay_s = 0.5
        reader, writer = await fleet.connect(0)
        ids = [f"id-{number}" for number in range(2 + waiting)]
        for request_id in ids:
            writer.write(fleet.encode_request("/flip/", request_id=request_id))
        await test_requests.wait_until(
            lambda: any(server.running_requests for server in fleet.app_servers)
        )
        fleet.nodes[0].stop()
        for request_id in ids:
            status, headers, _ = await fleet.read_response(reader)
            assert status == 200
            assert headers["x-jasminetally-attempt-id"] == request_id
            assert (headers.get("connection") == "close") == (
                request_id == ids[-1]
            )
        assert await reader.read() == b""

    run_with_fleet(scenario, routers=2)


@pytest.mark.parametrize("failure", ["error", "no_answer"])
def test_other_routers_do_not_hold_up_the_end_of_a_stop(
    run_with_fleet, failure
):
    """Guards against a stop that lasts until the kill. Issue 63."""
    grace_s = 2.0

    async def fail_to_announce():
        if failure == "error":
            raise RuntimeError("broken on purpose")
        await asyncio.sleep(3600)

    async def scenario(fleet):
        for server in fleet.app_servers:
            server.behaviour = "hang"
        router = fleet.nodes[0]
        router._state.fleet.announce_status = fail_to_announce
        response = asyncio.ensure_future(
            fleet.send_request("/flip/", request_id="id-1")
        )
        await test_requests.wait_until(
            lambda: any(server.running_requests for server in fleet.app_servers)
        )
        router.stop()
        async with asyncio.timeout(grace_s):
            status, _, _ = await response
            assert status == 502
            await test_requests.wait_until(
                lambda: fleet.get_log_events("router_stopped")
            )

    run_with_fleet(scenario, routers=2, settings_changes={"grace_s": grace_s})


def test_request_gets_an_error_though_the_process_stalls_at_its_end(
    run_with_fleet,
):
    """Guards against a connection that ends without a response. Issue 63."""

    async def scenario(fleet):
        await store_long_timeouts(fleet)
        for server in fleet.app_servers:
            server.behaviour = "hang"
        response = asyncio.ensure_future(
            fleet.send_request("/flip/", deadline_ms=20_000)
        )
        await test_requests.wait_until(
            lambda: any(s.running_requests for s in fleet.app_servers)
        )
        fleet.nodes[0].stop()
        # The errors are due after 1.1 s, and the end of the process after 1.3.
        await asyncio.sleep(1.0)
        # Blocks the event loop on purpose.
        time.sleep(0.5)  # noqa: ASYNC251
        status, _, _ = await response
        assert status == 502

    run_with_fleet(scenario, routers=2, settings_changes={"grace_s": 2.0})
