"""Tests of streams that go on while servers of several versions serve."""

from __future__ import annotations

import asyncio

import pytest

from testing.users_platform import http_messages
from testing.users_platform import test_requests

MIXED_VERSIONS = ("v1", "v1", "v2", "v2")
# Streams that the users allow to go on at another version.
MAX_STREAMS_AT_ANOTHER_VERSION = 2


def arrived_at(fleet, request_id: str) -> list:
    """Return the servers that a request has reached."""
    return [
        server
        for server in fleet.pool_servers
        for _, _, headers, _ in server.received_requests
        if headers["x-jasminetally-attempt-id"] == request_id
    ]


async def read_first_event(fleet, request_id: str, *, router=0):
    """Send a request for a stream and read its first event.

    Returns:
        The reader and the writer of the connection.
    """
    reader, writer = await fleet.connect(router)
    writer.write(
        fleet.encode_request(
            "/task/",
            key=http_messages.API_KEY,
            request_id=request_id,
            tokens=test_requests.REQUEST_TOKENS,
        )
    )
    await reader.readuntil(b"piece 1")
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
        def stop_cutting():
            for server in fleet.pool_servers:
                server.behaviour = "well"

        for number in range(8):
            for server in fleet.pool_servers:
                server.behaviour = "cut"
                server.on_stream_truncated = stop_cutting
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
