"""Tests of streams that go on while servers of several versions serve."""

from __future__ import annotations

import asyncio
import json
import re

import pytest

from testing.users_platform import http_messages
from testing.users_platform import test_requests

MIXED_VERSIONS = ("v1", "v1", "v2", "v2")
# Streams that the users allow to go on at another version.
MAX_STREAMS_AT_ANOTHER_VERSION = 2
# Tries to begin a stream.
MAX_STARTS = 8
RETRY_AFTER = re.compile(rb"Retry-After: ([0-9.]+)\r\n")


def arrived_at(fleet, request_id: str) -> list:
    """Return the servers that a request has reached."""
    return [
        server
        for server in fleet.pool_servers
        for _, _, headers, _ in server.received_requests
        if headers["x-jasminetally-attempt-id"] == request_id
    ]


def assert_at_their_origin(fleet, streams, *, tries: int) -> None:
    """Fail if a stream went on at a server of another origin than its first.

    Args:
        fleet: The fleet.
        streams: Ids of the streams, each of which has reached one server.
        tries: Number of times that each was taken up at most.
    """
    for stream in streams:
        (began,) = arrived_at(fleet, stream)
        for number in range(tries):
            for server in arrived_at(fleet, f"again-{number}-{stream}"):
                assert (server.service, server.version) == (
                    began.service,
                    began.version,
                )


async def read_first_event(
    fleet, request_id: str, *, router=0, text=b"piece 1"
):
    """Begin a stream and read its first event, which has this text.

    A start that is refused as not run is tried again when the response says
    so, as callers do.

    Returns:
        The reader and the writer of the connection.
    """
    for _ in range(MAX_STARTS):
        reader, writer = await fleet.connect(router)
        writer.write(
            fleet.encode_request(
                "/task/",
                key=http_messages.API_KEY,
                request_id=request_id,
                tokens=test_requests.REQUEST_TOKENS,
            )
        )
        response = await reader.readuntil(b"\r\n\r\n")
        if not response.startswith(b"HTTP/1.1 503"):
            break
        writer.transport.abort()
        (pause_s,) = RETRY_AFTER.findall(response)
        await asyncio.sleep(float(pause_s))
    while text not in response:
        piece = await reader.read(4096)
        assert piece, f"{request_id} got no event: {response!r}"
        response += piece
    return reader, writer


async def resume_stream(fleet, stream_id: str, *, router: int, tries=1):
    """Take up a stream after its first event, and again when refused.

    Returns:
        Status and body of the last response. The ids of the attempts are
        ``again-0-ID`` and so on.
    """
    for number in range(tries):
        status, headers, body = await fleet.send_request(
            "/task/",
            router=router,
            request_id=f"again-{number}-{stream_id}",
            tokens=test_requests.REQUEST_TOKENS,
            headers=("Last-Event-Id: 1", f"Resumes: {stream_id}"),
        )
        if status != 503:
            break
        await asyncio.sleep(float(headers.get("retry-after", 0.1)))
    return status, body


def test_router_continues_a_stream_at_the_version_that_began_it(
    run_with_fleet,
):
    """Guards against events of two versions within one response."""

    async def scenario(fleet):
        for number in range(8):
            fleet.cut_next_stream()
            status, _, body = await fleet.send_request(
                "/task/",
                request_id=f"cut-{number}",
                tokens=test_requests.REQUEST_TOKENS,
            )
            assert (status, body) == (200, test_requests.expected_events(1, 4))
            first, second = arrived_at(fleet, f"cut-{number}")
            assert first is not second
            assert first.version == second.version

    run_with_fleet(scenario, pool_versions=MIXED_VERSIONS)


@pytest.mark.parametrize("lost", ["connections", "router"])
def test_streams_that_clients_take_up_go_on_at_their_version(
    run_with_fleet, lost
):
    """Guards against clients that get events of two versions of a server."""

    async def scenario(fleet):
        for server in fleet.pool_servers:
            server.delay_s = 0.5
        streams = [f"stream-{number}" for number in range(20)]
        connections = await asyncio.gather(
            *(read_first_event(fleet, stream) for stream in streams)
        )
        await asyncio.sleep(0.2)
        if lost == "router":
            await fleet.kill_router(0)
        for _, writer in connections:
            writer.transport.abort()
        for server in fleet.pool_servers:
            server.delay_s = 0.01
        responses = await asyncio.gather(
            *(
                resume_stream(fleet, stream, router=1 + number % 2, tries=8)
                for number, stream in enumerate(streams)
            )
        )
        at_another_version = [
            stream
            for stream in streams
            for number in range(8)
            for server in arrived_at(fleet, f"again-{number}-{stream}")
            if server.version != arrived_at(fleet, stream)[0].version
        ]
        went_on = [
            body == test_requests.expected_events(2, 4)
            for status, body in responses
            if status == 200
        ]
        assert len(at_another_version) <= MAX_STREAMS_AT_ANOTHER_VERSION
        assert all(went_on)
        assert len(went_on) >= len(streams) / 2

    run_with_fleet(scenario, routers=3, pool_versions=MIXED_VERSIONS)


async def begin_streams(fleet, streams, *, router=0, text=b"piece 1"):
    """Begin streams and break their connections after the first event."""
    for server in fleet.pool_servers:
        server.delay_s = 0.5
    connections = await asyncio.gather(
        *(
            read_first_event(fleet, stream, router=router, text=text)
            for stream in streams
        )
    )
    for _, writer in connections:
        writer.transport.abort()
    for server in fleet.pool_servers:
        server.delay_s = 0.01


async def restart_all_routers(fleet) -> None:
    """Kill all routers at once and start them again."""
    count = len(fleet.nodes)
    for number in range(count):
        await fleet.kill_router(number)
    for number in range(count):
        await fleet.start_router(number)
    await fleet.wait_until_ready()


async def wait_for_stored_versions(fleet, versions) -> None:
    """Wait until the store has these versions of the service ``pool``."""
    async with asyncio.timeout(10):
        while True:
            stored = fleet.store.objects.get(("stream-history", "main"))
            if stored:
                _, stored_versions, _ = json.loads(stored["specification"])
                if stored_versions.get("pool") == versions:
                    return
            await asyncio.sleep(0.05)


STREAMS = [f"stream-{number}" for number in range(6)]


def test_streams_go_on_after_the_loss_of_all_routers(run_with_fleet):
    """Guards against refusals where a service has had one version only."""

    async def scenario(fleet):
        await wait_for_stored_versions(fleet, ["v1"])
        await begin_streams(fleet, STREAMS)
        await restart_all_routers(fleet)
        for stream in STREAMS:
            status, body = await resume_stream(fleet, stream, router=1, tries=8)
            assert (status, body) == (200, test_requests.expected_events(2, 4))

    run_with_fleet(scenario, routers=2)


def test_streams_of_lost_routers_do_not_go_on_at_a_newer_version(
    run_with_fleet,
):
    """Guards against routers that know only the versions after their start."""

    async def scenario(fleet):
        await begin_streams(fleet, STREAMS)
        for server in fleet.pool_servers:
            server.version = "v2"
            await fleet.store.put("servers", server.name, server.store_entry())
        await wait_for_stored_versions(fleet, ["v1", "v2"])
        await restart_all_routers(fleet)
        for stream in STREAMS:
            status, body = await resume_stream(fleet, stream, router=1)
            # The stream may be recorded, but its version has no server left.
            refused = (
                b"stream_origin_unknown" in body
                or b"no_server_of_version" in body
            )
            assert (status, refused) == (503, True)
            assert arrived_at(fleet, f"again-0-{stream}") == []
        status, _, _ = await fleet.send_request(
            "/task/",
            request_id="new",
            tokens=test_requests.REQUEST_TOKENS,
        )
        assert status == 200

    run_with_fleet(scenario, routers=2)


def test_streams_are_announced_when_a_second_version_appears(run_with_fleet):
    """Guards against streams that began before a release and are lost in it."""

    async def scenario(fleet):
        await begin_streams(fleet, STREAMS)
        fleet.pool_servers[1].version = "v2"
        await fleet.store.put(
            "servers",
            fleet.pool_servers[1].name,
            fleet.pool_servers[1].store_entry(),
        )
        await asyncio.sleep(1.5)
        await fleet.kill_router(0)
        for stream in STREAMS:
            status, body = await resume_stream(fleet, stream, router=1, tries=8)
            assert (status, body) == (200, test_requests.expected_events(2, 4))
            reached = [
                server
                for number in range(8)
                for server in arrived_at(fleet, f"again-{number}-{stream}")
            ]
            assert reached == [fleet.pool_servers[0]]

    run_with_fleet(scenario, routers=3)


def test_stream_whose_version_is_gone_is_refused_at_once(run_with_fleet):
    """Guards against streams held for servers that don't come back."""

    async def scenario(fleet):
        await begin_streams(fleet, STREAMS)
        for server in fleet.pool_servers:
            server.version = "v2"
            await fleet.store.put("servers", server.name, server.store_entry())
        await asyncio.sleep(1.0)
        for stream in STREAMS:
            status, headers, body = await fleet.send_request(
                "/task/",
                request_id=f"again-{stream}",
                tokens=test_requests.REQUEST_TOKENS,
                headers=("Last-Event-Id: 1", f"Resumes: {stream}"),
            )
            assert (status, b"not_run" in body) == (503, True)
            assert float(headers["retry-after"]) > 0
            assert arrived_at(fleet, f"again-{stream}") == []

    run_with_fleet(scenario)


def test_stream_goes_on_at_the_service_that_began_it(run_with_fleet):
    """Guards against routes with several services that draw one anew."""

    async def scenario(fleet):
        split = fleet.make_route("/task/", "streaming", "pool", resumable=True)
        split["traffic_split"] = [
            {"service": "pool", "weight": 1},
            {"service": "other", "weight": 1},
        ]
        for server in fleet.pool_servers[2:]:
            server.service = "other"
            await fleet.store.put("servers", server.name, server.store_entry())
        await fleet.store_configuration(routes=[split])
        await test_requests.wait_until(
            lambda: len(fleet.get_log_events("configuration_in_force")) == 4
        )
        await begin_streams(fleet, STREAMS)
        split["traffic_split"][0]["weight"] = 0.001
        await fleet.store_configuration(routes=[split])
        await test_requests.wait_until(
            lambda: len(fleet.get_log_events("configuration_in_force")) == 6
        )
        began = {
            stream: arrived_at(fleet, stream)[0].service for stream in STREAMS
        }
        assert set(began.values()) == {"pool", "other"}
        for stream in STREAMS:
            status, _ = await resume_stream(fleet, stream, router=1, tries=8)
            assert status == 200
            (reached,) = arrived_at(fleet, f"again-0-{stream}")
            assert reached.service == began[stream]

    run_with_fleet(scenario, routers=2, pool_versions=("v1", "v1", "v1", "v1"))
