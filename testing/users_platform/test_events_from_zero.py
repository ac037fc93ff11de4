"""Tests of servers that count the events of a stream from 0."""

from __future__ import annotations

import asyncio

from testing.users_platform import test_requests
from testing.users_platform import test_resumed_streams

STREAMS = [f"stream-{number}" for number in range(8)]


def count_from_zero(fleet) -> None:
    for server in fleet.pool_servers:
        server.first_event_id = 0


async def begin_streams(fleet) -> None:
    """Begin streams and break their connections after the event 0."""
    count_from_zero(fleet)
    await test_resumed_streams.begin_streams(fleet, STREAMS, text=b"piece 0")


async def take_up(fleet, stream: str, *, router: int):
    """Take up a stream of which the event 0 has arrived."""
    return await fleet.send_request(
        "/task/",
        router=router,
        request_id=f"again-0-{stream}",
        tokens=test_requests.REQUEST_TOKENS,
        headers=("Last-Event-Id: 0", f"Resumes: {stream}"),
    )


def test_router_goes_on_after_the_event_zero(run_with_fleet):
    """Guards against a first event that comes twice in one response."""

    async def scenario(fleet):
        count_from_zero(fleet)
        fleet.cut_next_stream()
        status, _, body = await fleet.send_request(
            "/task/", tokens=test_requests.REQUEST_TOKENS
        )
        assert (status, body) == (200, test_requests.expected_events(0, 3))

    run_with_fleet(scenario)


def test_event_zero_does_not_come_again_when_a_stream_is_taken_up(
    run_with_fleet,
):
    """Guards against a first event that comes twice over a caller's tries."""

    async def scenario(fleet):
        await begin_streams(fleet)
        for number, stream in enumerate(STREAMS):
            status, _, body = await take_up(fleet, stream, router=number % 2)
            assert (status, body) == (200, test_requests.expected_events(1, 3))

    run_with_fleet(scenario, routers=2)


def test_stream_goes_on_after_the_event_zero_at_its_version(run_with_fleet):
    """Guards against events of two versions behind the first event."""

    async def scenario(fleet):
        await begin_streams(fleet)
        await asyncio.sleep(0.5)
        for number, stream in enumerate(STREAMS):
            await take_up(fleet, stream, router=number % 2)
        test_resumed_streams.assert_at_their_origin(fleet, STREAMS, tries=1)

    run_with_fleet(
        scenario,
        routers=2,
        pool_versions=test_resumed_streams.MIXED_VERSIONS,
    )


def test_stream_without_events_begins_where_no_origin_is_known(run_with_fleet):
    """Guards against callers refused who name 0 for having no event."""

    async def scenario(fleet):
        status, _, body = await fleet.send_request(
            "/task/",
            request_id="again",
            tokens=test_requests.REQUEST_TOKENS,
            headers=("Last-Event-Id: 0", "Resumes: unknown"),
        )
        assert (status, body) == (200, test_requests.expected_events(1, 4))

    run_with_fleet(scenario, pool_versions=test_resumed_streams.MIXED_VERSIONS)
