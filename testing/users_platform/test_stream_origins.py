"""Tests of streams taken up where their origin is not what the routes say now.

They guard against answers whose first events come from another service or
another version of the servers' software than the rest (issue 50).
"""

from __future__ import annotations

import asyncio
import json

import pytest

from testing.users_platform import test_requests
from testing.users_platform import test_resumed_streams

STREAMS = test_resumed_streams.STREAMS
TRIES = 8
# Share of the streams that go on after the loss of all routers while the
# servers of both versions serve.
MIN_SHARE_THAT_GOES_ON = 0.8


async def store_route(fleet, *services: str) -> None:
    """Let the route of the streams lead to services, and wait for it."""
    route = fleet.make_route("/task/", "streaming", services[0], resumable=True)
    if len(services) > 1:
        route["traffic_split"] = [
            {"service": service, "weight": 1} for service in services
        ]
    routers = len(fleet.nodes)
    before = len(fleet.get_log_events("configuration_in_force"))
    await fleet.store_configuration(routes=[route])
    await test_requests.wait_until(
        lambda: (
            len(fleet.get_log_events("configuration_in_force"))
            >= before + routers
        )
    )


async def move_servers(fleet, servers, *, service="pool", version="v1"):
    """Change the service or version of servers, as if they were new."""
    for server in servers:
        server.service, server.version = service, version
        await fleet.store.put("servers", server.name, server.store_entry())


async def take_up_all(fleet, *, tries=TRIES):
    """Take up all streams; return the ids of those that go on.

    Fails if one goes on at a server of another origin than it began at.
    """
    responses = [
        await test_resumed_streams.resume_stream(
            fleet, stream, router=number % len(fleet.nodes), tries=tries
        )
        for number, stream in enumerate(STREAMS)
    ]
    test_resumed_streams.assert_at_their_origin(fleet, STREAMS, tries=tries)
    for status, body in responses:
        if status == 200:
            assert body == test_requests.expected_events(2, 4)
        else:
            assert (status, b"not_run" in body) == (503, True)
    return [
        stream
        for stream, (status, _) in zip(STREAMS, responses, strict=True)
        if status == 200
    ]


@pytest.mark.parametrize("lost", ["all_routers", "none"])
def test_stream_of_a_route_that_has_moved_does_not_go_on(run_with_fleet, lost):
    """Guards against a take-up at the service to which the route leads now."""

    async def scenario(fleet):
        await move_servers(
            fleet, fleet.pool_servers[2:], service="other", version="v2"
        )
        await store_route(fleet, "pool")
        await test_resumed_streams.begin_streams(fleet, STREAMS)
        await store_route(fleet, "other")
        await asyncio.sleep(1.5)
        if lost == "all_routers":
            await test_resumed_streams.restart_all_routers(fleet)
        assert await take_up_all(fleet, tries=1) == []
        status, _, _ = await fleet.send_request(
            "/task/", request_id="new", tokens=test_requests.REQUEST_TOKENS
        )
        assert status == 200

    run_with_fleet(scenario, routers=2, pool_versions=("v1", "v1", "v2", "v2"))


def test_streams_of_a_split_that_has_ended_stay_at_their_service(
    run_with_fleet,
):
    """Guards against streams of the service that the route has left."""

    async def scenario(fleet):
        await move_servers(
            fleet, fleet.pool_servers[2:], service="other", version="v2"
        )
        await store_route(fleet, "pool", "other")
        await test_resumed_streams.begin_streams(fleet, STREAMS)
        began = {
            stream: test_resumed_streams.arrived_at(fleet, stream)[0].service
            for stream in STREAMS
        }
        assert set(began.values()) == {"pool", "other"}
        await store_route(fleet, "other")
        await asyncio.sleep(1.5)
        await test_resumed_streams.restart_all_routers(fleet)
        went_on = await take_up_all(fleet)
        assert went_on == [
            stream for stream in STREAMS if began[stream] == "other"
        ]

    run_with_fleet(scenario, routers=2, pool_versions=("v1", "v1", "v2", "v2"))


@pytest.mark.parametrize("record", ["gone", "unreadable", "of_another_era"])
def test_record_that_does_not_hold_proves_nothing(run_with_fleet, record):
    """Guards against a store restored from an older copy of itself.

    Without the record, a router that starts after the loss of all others sees
    one version only, and can't know of the one before.
    """

    async def scenario(fleet):
        await test_resumed_streams.wait_for_stored_versions(fleet, ["v1"])
        await test_resumed_streams.begin_streams(fleet, STREAMS)
        if record == "of_another_era":
            saved = fleet.store.take_copy()
        await move_servers(fleet, fleet.pool_servers, version="v2")
        await test_resumed_streams.wait_for_stored_versions(fleet, ["v1", "v2"])
        for number in range(2):
            await fleet.kill_router(number)
        if record == "of_another_era":
            fleet.store.restore(saved)
            await move_servers(fleet, fleet.pool_servers, version="v2")
        elif record == "gone":
            await fleet.store.remove("stream-history", "main")
        else:
            await fleet.store.put("stream-history", "main", "unreadable")
        for number in range(2):
            await fleet.start_router(number)
        await fleet.wait_until_ready()
        assert await take_up_all(fleet, tries=1) == []

    run_with_fleet(scenario, routers=2)


def test_streams_go_on_after_the_loss_of_all_routers_in_a_release(
    run_with_fleet,
):
    """Guards against origins that die with the routers."""

    async def scenario(fleet):
        await asyncio.sleep(1.0)
        await test_resumed_streams.begin_streams(fleet, STREAMS)
        await asyncio.sleep(1.0)
        await test_resumed_streams.restart_all_routers(fleet)
        went_on = await take_up_all(fleet)
        assert len(went_on) >= MIN_SHARE_THAT_GOES_ON * len(STREAMS)

    run_with_fleet(
        scenario, routers=2, pool_versions=test_resumed_streams.MIXED_VERSIONS
    )


def test_recorded_streams_outlive_a_second_loss(run_with_fleet):
    """Guards against a router that replaces the record of the one before."""

    async def scenario(fleet):
        await asyncio.sleep(1.0)
        await test_resumed_streams.begin_streams(fleet, STREAMS)
        await asyncio.sleep(1.0)
        await test_resumed_streams.restart_all_routers(fleet)
        await test_resumed_streams.begin_streams(fleet, ["later"])
        await asyncio.sleep(1.0)
        await test_resumed_streams.restart_all_routers(fleet)
        went_on = await take_up_all(fleet)
        assert len(went_on) >= MIN_SHARE_THAT_GOES_ON * len(STREAMS)

    run_with_fleet(
        scenario, routers=2, pool_versions=test_resumed_streams.MIXED_VERSIONS
    )


def test_stream_can_be_taken_up_again_after_each_loss(run_with_fleet):
    """Guards against a take-up whose own origin is lost or drawn anew."""

    async def scenario(fleet):
        await asyncio.sleep(1.0)
        await test_resumed_streams.begin_streams(fleet, STREAMS)
        for _ in range(2):
            await asyncio.sleep(1.0)
            await test_resumed_streams.restart_all_routers(fleet)
            went_on = await take_up_all(fleet)
            assert len(went_on) >= MIN_SHARE_THAT_GOES_ON * len(STREAMS)

    run_with_fleet(
        scenario, routers=2, pool_versions=test_resumed_streams.MIXED_VERSIONS
    )


def test_router_that_joins_late_learns_of_former_routes(run_with_fleet):
    """Guards against a router that takes the present route for the only one."""

    async def scenario(fleet):
        await move_servers(
            fleet, fleet.pool_servers[2:], service="other", version="v2"
        )
        await store_route(fleet, "pool")
        await test_resumed_streams.begin_streams(fleet, STREAMS)
        await store_route(fleet, "other")
        await asyncio.sleep(1.5)
        await fleet.kill_router(1)
        await fleet.start_router(1)
        await fleet.wait_until_ready()
        assert await take_up_all(fleet, tries=1) == []

    run_with_fleet(scenario, routers=2, pool_versions=("v1", "v1", "v2", "v2"))


@pytest.mark.parametrize(
    "headers",
    [
        ("Last-Event-Id: +1",),
        ("Last-Event-Id: 01",),
        ("Last-Event-Id: 1.0",),
        ("Last-Event-Id: 1234567890123456789",),
        ("Last-Event-Id: 0", "Last-Event-Id: 1"),
        ("Last-Event-Id: 1", "Resumes: stream-0", "Resumes: stream-0"),
        ("Last-Event-Id: 1", "Resumes:"),
    ],
)
def test_event_id_that_no_stream_can_have_is_refused(run_with_fleet, headers):
    """Guards against an id that the router and the server read differently."""

    async def scenario(fleet):
        status, _, body = await fleet.send_request(
            "/task/",
            request_id="again",
            tokens=test_requests.REQUEST_TOKENS,
            headers=headers,
        )
        assert (status, json.loads(body)["error"]["code"]) == (
            400,
            "bad_request",
        )
        assert test_resumed_streams.arrived_at(fleet, "again") == []

    run_with_fleet(scenario)


def test_white_space_around_an_event_id_does_not_hide_it(run_with_fleet):
    """Guards against a take-up that passes for a new stream."""

    async def scenario(fleet):
        await test_resumed_streams.begin_streams(fleet, STREAMS[:1])
        await move_servers(fleet, fleet.pool_servers, version="v2")
        await asyncio.sleep(1.0)
        status, _, _ = await fleet.send_request(
            "/task/",
            request_id="again",
            tokens=test_requests.REQUEST_TOKENS,
            headers=("Last-Event-Id: \t1 \t", f"Resumes:\t{STREAMS[0]}"),
        )
        assert status == 503
        assert test_resumed_streams.arrived_at(fleet, "again") == []

    run_with_fleet(scenario)


def test_stream_without_events_begins_anew(run_with_fleet):
    """Guards against callers refused who have got no event yet."""

    async def scenario(fleet):
        status, _, body = await fleet.send_request(
            "/task/",
            request_id="again",
            tokens=test_requests.REQUEST_TOKENS,
            headers=("Last-Event-Id: 0", "Resumes: stream-0"),
        )
        assert (status, body) == (200, test_requests.expected_events(1, 4))

    run_with_fleet(scenario)
