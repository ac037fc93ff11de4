"""Tests of requests that reach a router while it is being stopped."""

from __future__ import annotations

import asyncio
import contextlib
import time

import pytest

from testing.users_platform import http_messages
from testing.users_platform import sample_configuration
from testing.users_platform import test_cut_off_routers
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
        await test_requests.wait_until(
            lambda: (
                sum(server.running_requests for server in fleet.app_servers)
                == len(responses)
            )
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


async def send_stream_that_is_cut(fleet, *, stop=False, **server_changes):
    """Send a stream that ends early; return the ``response_aborted`` line."""
    for server in fleet.pool_servers:
        for name, value in server_changes.items():
            setattr(server, name, value)
    reader, writer = await fleet.connect(0)
    writer.write(
        fleet.encode_request(
            "/digest/",
            request_id="cut",
            deadline_ms=20_000,
            tokens=test_requests.REQUEST_TOKENS,
        )
    )
    status, headers = await http_messages.read_response_head(reader)
    assert status == 200
    if stop:
        fleet.nodes[0].stop()
    with pytest.raises(asyncio.IncompleteReadError):
        async for _ in http_messages.read_body_chunks(reader, headers):
            pass
    writer.transport.abort()
    await test_requests.wait_until(
        lambda: fleet.get_log_events("request_ended")
    )
    (aborted,) = fleet.get_log_events("response_aborted")
    return aborted


def test_stream_cut_by_a_stop_is_logged_as_such(run_with_fleet):
    """Guards against a stop that logs no reason for a cut. Issue 63."""

    async def scenario(fleet):
        await store_long_timeouts(fleet)
        line = await send_stream_that_is_cut(fleet, stop=True, delay_s=1.0)
        assert (line["request"], line["stopping"]) == ("cut", True)
        assert "stopping" in line["reason"]
        assert line["left_s"] > 0

    run_with_fleet(scenario, routers=2, settings_changes={"grace_s": 3.0})


def test_stopped_router_counts_the_streams_that_it_cut(run_with_fleet):
    """Guards against a stop that reports no cut response. Issue 63."""

    async def scenario(fleet):
        await store_long_timeouts(fleet)
        await send_stream_that_is_cut(fleet, stop=True, delay_s=1.0)
        await test_requests.wait_until(
            lambda: fleet.get_log_events("router_stopped")
        )
        (stopped,) = fleet.get_log_events("router_stopped")
        assert stopped["aborted"] == 1

    run_with_fleet(scenario, routers=2, settings_changes={"grace_s": 3.0})


@pytest.mark.parametrize(
    ("server_changes", "code", "reason"),
    [
        ({"delay_s": 1.0}, "out_of_time", "deadline"),
        ({"behaviour": "cut"}, "outcome_unknown", "closed"),
    ],
)
def test_stream_cut_without_a_stop_is_logged_with_its_cause(
    run_with_fleet, server_changes, code, reason
):
    """Guards against a time limit or a server taken for a stop. Issue 63."""

    async def scenario(fleet):
        line = await send_stream_that_is_cut(fleet, **server_changes)
        assert (line["request"], line["stopping"]) == ("cut", False)
        assert line["code"] == code
        assert reason in line["reason"]

    run_with_fleet(scenario)


async def send_stream(fleet, number):
    """Send a request for a stream that can't be resumed; return the response.

    Every other body is sent in chunks.
    """
    reader, writer = await fleet.connect(0)
    options = {
        "request_id": f"id-{number}",
        "deadline_ms": 20_000,
        "tokens": test_requests.REQUEST_TOKENS,
    }
    try:
        if number % 2:
            writer.write(fleet.encode_request("/digest/", **options))
        else:
            writer.write(
                http_messages.encode_chunked_start("/digest/", **options)
            )
            writer.write(b"5\r\nhello\r\n")
            await asyncio.sleep(0.2)
            writer.write(b"0\r\n\r\n")
        return await fleet.read_response(reader)
    finally:
        writer.transport.abort()


async def drain_servers(fleet):
    for server in fleet.pool_servers:
        await fleet.store.put(
            "servers", server.name, server.store_entry("draining")
        )


async def remove_servers(fleet):
    for server in fleet.pool_servers:
        await fleet.store.remove("servers", server.name)


async def remove_routes(fleet):
    await fleet.store_configuration(
        routes=sample_configuration.make_default_routes()[-1:]
    )


async def revoke_keys(fleet):
    await fleet.store_configuration(tenants=[])


async def shorten_limits(fleet):
    limits = sample_configuration.make_configuration(0, [], [])["limits"]
    await fleet.store_configuration(
        limits={**limits, "header_timeout_ms": 100, "idle_timeout_ms": 100}
    )


async def signal_again(fleet):
    fleet.nodes[0].reload()
    fleet.nodes[0].stop()


async def stop_all(fleet):
    for router in fleet.nodes:
        router.stop()


async def lose_store(fleet):
    await fleet.store_proxy.partition()


@pytest.mark.parametrize("silent", [False, True])
@pytest.mark.parametrize(
    "change",
    [
        drain_servers,
        remove_servers,
        remove_routes,
        revoke_keys,
        shorten_limits,
        signal_again,
        stop_all,
        lose_store,
    ],
)
def test_streams_under_way_outlast_a_stop_and_a_change(
    run_with_fleet, change, silent
):
    """Guards against streams cut by what happens beside a stop. Issue 63."""

    async def scenario(fleet):
        await store_long_timeouts(fleet)
        for server in fleet.pool_servers:
            server.delay_s = 1.6 if silent else 0.8
            server.events_per_stream = 2 if silent else EVENTS
        responses = [
            asyncio.ensure_future(send_stream(fleet, number))
            for number in range(4)
        ]
        await test_requests.wait_until(
            lambda: (
                sum(server.running_requests for server in fleet.pool_servers)
                == len(responses)
            )
        )
        fleet.nodes[0].stop()
        await asyncio.sleep(0.4)
        await change(fleet)
        events = 2 if silent else EVENTS
        for status, _, body in await asyncio.gather(*responses):
            assert status == 200
            assert body == test_requests.expected_events(1, events)

    run_with_fleet(scenario, routers=2, settings_changes={"grace_s": GRACE_S})


@pytest.mark.parametrize("stopped", [(0,), (1,), (0, 1)])
def test_relayed_streams_outlast_a_stop_of_either_router(
    run_with_fleet, stopped
):
    """Guards against relayed streams cut by a stop. Issue 63."""

    async def scenario(fleet):
        await store_long_timeouts(fleet)
        async with test_cut_off_routers.cut_off_router(fleet):
            for server in fleet.pool_servers:
                server.delay_s = 0.8
            responses = [
                asyncio.ensure_future(send_stream(fleet, number))
                for number in range(4)
            ]
            await test_requests.wait_until(
                lambda: (
                    sum(
                        server.running_requests for server in fleet.pool_servers
                    )
                    == len(responses)
                )
            )
            for number in stopped:
                fleet.nodes[number].stop()
            for status, _, body in await asyncio.gather(*responses):
                assert status == 200
                assert body == test_requests.expected_events(1, EVENTS)

    run_with_fleet(
        scenario,
        routers=2,
        own_server_paths=True,
        settings_changes={"grace_s": GRACE_S},
    )
