"""Tests of servers that start again under their id at another version."""

from __future__ import annotations

import asyncio
import contextlib

import pytest

from testing.users_platform import server_standin
from testing.users_platform import test_requests
from testing.users_platform import test_resumed_streams

STREAMS = [f"restarted-{number}" for number in range(12)]
TRIES = 4
LATER_STREAMS = 60
# Time after which routers know a server's new entry.
HEARD_S = 0.5


async def begin_at_restarted(fleet):
    """Begin streams once a server has started again before its entry says so.

    Returns:
        The server, at version v2.
    """
    await test_resumed_streams.wait_for_stored_versions(fleet, ["v1"])
    restarted = fleet.pool_servers[0]
    await restarted.restart("v2")
    await test_resumed_streams.begin_streams(fleet, STREAMS)
    return restarted


@pytest.mark.parametrize("heard_s", [0.0, HEARD_S])
def test_streams_begun_before_a_new_version_is_known_stay_there(
    run_with_fleet, heard_s
):
    """Guards against streams taken for those of the version before."""

    async def scenario(fleet):
        restarted = await begin_at_restarted(fleet)
        await fleet.store.put(
            "servers", restarted.name, restarted.store_entry()
        )
        await asyncio.sleep(heard_s)
        await asyncio.gather(
            *(
                test_resumed_streams.resume_stream(
                    fleet, stream, router=number % 2, tries=TRIES
                )
                for number, stream in enumerate(STREAMS)
            )
        )
        at_another_version = [
            stream
            for stream in STREAMS
            for number in range(TRIES)
            for server in test_resumed_streams.arrived_at(
                fleet, f"again-{number}-{stream}"
            )
            if server.version
            != test_resumed_streams.arrived_at(fleet, stream)[0].version
        ]
        assert (
            len(at_another_version)
            <= test_resumed_streams.MAX_STREAMS_AT_ANOTHER_VERSION
        )

    run_with_fleet(scenario, routers=2)


def versions_of(fleet, request_id: str) -> set[str]:
    """Return the versions of the processes that a request has reached."""
    return {
        server.request_versions[request_id]
        for server in test_resumed_streams.arrived_at(fleet, request_id)
    }


async def take_up_all(fleet) -> list[int]:
    """Take up all streams, at the last router; return the statuses.

    Fails if one goes on at another version than it began at.
    """
    responses = await asyncio.gather(
        *(
            test_resumed_streams.resume_stream(
                fleet, stream, router=len(fleet.nodes) - 1, tries=TRIES
            )
            for stream in STREAMS
        )
    )
    for stream in STREAMS:
        for number in range(TRIES):
            went_on = versions_of(fleet, f"again-{number}-{stream}")
            assert went_on <= versions_of(fleet, stream)
    return [status for status, _ in responses]


def test_streams_do_not_go_on_at_a_process_that_no_entry_names(run_with_fleet):
    """Guards against a version taken from the entry of an earlier process."""

    async def scenario(fleet):
        await test_resumed_streams.wait_for_stored_versions(fleet, ["v1"])
        await test_resumed_streams.begin_streams(fleet, STREAMS)
        await fleet.pool_servers[0].restart("v2")
        assert set(await take_up_all(fleet)) == {200}

    run_with_fleet(scenario, routers=2, pool_versions=("v1", "v1", "v1"))


def test_streams_of_a_process_that_no_entry_names_go_on_there(run_with_fleet):
    """Guards against refusals for as long as the entry is late."""

    async def scenario(fleet):
        restarted = await begin_at_restarted(fleet)
        assert restarted.received_requests
        assert set(await take_up_all(fleet)) == {200}

    run_with_fleet(scenario, routers=2)


@pytest.mark.parametrize("lost", ["all_routers", "none"])
def test_streams_of_a_process_that_no_entry_has_named_end_with_it(
    run_with_fleet, lost
):
    """Guards against the only known version where another one has served."""

    async def scenario(fleet):
        restarted = await begin_at_restarted(fleet)
        assert restarted.received_requests
        await asyncio.sleep(HEARD_S)
        restarted.crash(b"")
        if lost == "all_routers":
            await test_resumed_streams.restart_all_routers(fleet)
        await take_up_all(fleet)

    run_with_fleet(scenario, routers=2)


def test_streams_do_not_go_on_while_their_records_cannot_be_read(
    run_with_fleet,
):
    """Guards against the only known version where a record says otherwise."""

    async def scenario(fleet):
        restarted = await begin_at_restarted(fleet)
        assert restarted.received_requests
        await asyncio.sleep(HEARD_S)
        restarted.crash(b"")
        await test_resumed_streams.restart_all_routers(fleet)
        await asyncio.sleep(HEARD_S)
        fleet.store_proxy.refuse_connections()
        fleet.store_proxy.reset_connections()
        await take_up_all(fleet)

    run_with_fleet(scenario, routers=2)


def test_response_is_not_joined_from_a_process_that_no_entry_names(
    run_with_fleet,
):
    """Guards against events of two versions within one response."""

    async def scenario(fleet):
        await fleet.pool_servers[0].restart("v2")
        complete = 0
        for stream in STREAMS:
            fleet.cut_next_stream()
            with contextlib.suppress(asyncio.IncompleteReadError):
                await fleet.send_request(
                    "/task/",
                    request_id=stream,
                    tokens=test_requests.REQUEST_TOKENS,
                )
                complete += 1
            assert len(versions_of(fleet, stream)) == 1
        assert complete >= len(STREAMS) / 2

    run_with_fleet(scenario, pool_versions=("v1", "v1", "v1"))


def test_streams_go_on_though_their_servers_have_not_reported(
    run_with_fleet, monkeypatch
):
    """Guards against refusals after sound servers were silent for a moment."""

    async def scenario(fleet):
        await test_resumed_streams.wait_for_stored_versions(fleet, ["v1"])
        with monkeypatch.context() as patch:
            patch.setattr(
                server_standin.BackendServer, "_encode_report", lambda _: b""
            )
            await test_resumed_streams.begin_streams(fleet, STREAMS)
        assert set(await take_up_all(fleet)) == {200}

    run_with_fleet(scenario, routers=2)


async def send_streams(fleet, path: str, name: str, count: int) -> None:
    """Send requests for streams at once."""
    responses = await asyncio.gather(
        *(
            fleet.send_request(
                path,
                request_id=f"{name}-{number}",
                tokens=test_requests.REQUEST_TOKENS,
            )
            for number in range(count)
        )
    )
    assert {status for status, _, _ in responses} == {200}


async def count_after_its_entry(fleet, path: str, notice: str) -> int:
    """Return how many requests reach a server that has given a notice.

    It gives the notice before its entry is written; they are sent afterwards.
    """
    for server in fleet.pool_servers:
        server.delay_s = 0.02
    restarted = fleet.pool_servers[0]
    await restarted.restart("v2")
    restarted.notice_headers = (notice,)
    await send_streams(fleet, path, "before", len(STREAMS))
    arrived = len(restarted.received_requests)
    assert arrived
    await fleet.store.put("servers", restarted.name, restarted.store_entry())
    await asyncio.sleep(HEARD_S)
    await send_streams(fleet, path, "after", LATER_STREAMS)
    return len(restarted.received_requests) - arrived


@pytest.mark.parametrize("path", ["/task/", "/digest/"])
def test_server_that_leaves_before_its_entry_is_written_stays_unused(
    run_with_fleet, path
):
    """Guards against a notice filed under the process before."""

    async def scenario(fleet):
        notice = "Server-Leaving: 1"
        assert await count_after_its_entry(fleet, path, notice) == 0

    run_with_fleet(scenario)


def test_limit_named_before_the_entry_is_written_holds(run_with_fleet):
    """Guards against a notice filed under the process before."""

    async def scenario(fleet):
        notice = "Server-Limit: 1"
        assert await count_after_its_entry(fleet, "/task/", notice) <= 2

    run_with_fleet(scenario)
