"""Tests of servers that send bytes without end, or end with the connection."""

from __future__ import annotations

import asyncio
import contextlib

import pytest

from testing.users_platform import test_requests

REPEATABLE_PATH = "/read/"
STREAM_PATH = "/task/"
ENDLESS_BEHAVIOURS = (
    "endless_header",
    "endless_headers",
    "endless_interim",
    "endless_trailer",
)


def bad_servers(fleet) -> list:
    """Return the servers that misbehave, one of each service."""
    return [fleet.app_servers[0], fleet.pool_servers[0]]


def misbehave(fleet, behaviour: str) -> None:
    for server in bad_servers(fleet):
        server.behaviour = behaviour


async def send_to_all_servers(fleet, path, **options) -> set[int]:
    """Send requests at once, so that each server gets some; return statuses."""
    responses = await asyncio.gather(
        *(
            fleet.send_request(path, request_id=f"id-{number}", **options)
            for number in range(6)
        )
    )
    assert any(server.received_requests for server in bad_servers(fleet))
    return {status for status, _, _ in responses}


@pytest.mark.parametrize("behaviour", ENDLESS_BEHAVIOURS)
def test_response_without_end_is_given_up_for_another_server(
    run_with_fleet, behaviour
):
    """Guards against callers that wait for a head or trailer until 504."""

    async def scenario(fleet):
        misbehave(fleet, behaviour)
        statuses = await send_to_all_servers(fleet, REPEATABLE_PATH)
        assert statuses == {200}

    run_with_fleet(scenario)


@pytest.mark.parametrize("behaviour", ["endless_event", "endless_lines"])
def test_event_without_end_is_given_up(run_with_fleet, behaviour):
    """Guards against an event that fills the memory until the deadline."""

    async def scenario(fleet):
        misbehave(fleet, behaviour)
        statuses = await send_to_all_servers(
            fleet, STREAM_PATH, tokens=(100, 50)
        )
        assert statuses <= {200, 502}

    run_with_fleet(scenario)


def test_stream_that_ends_with_its_connection_is_relayed_whole(run_with_fleet):
    """Guards against streams without chunks that are taken as broken."""

    async def scenario(fleet):
        for server in fleet.pool_servers:
            server.behaviour = "until_close"
        status, _, body = await fleet.send_request(
            STREAM_PATH, tokens=(100, 50)
        )
        assert status == 200
        assert body == test_requests.expected_events(1, 4)

    run_with_fleet(scenario)


@pytest.mark.parametrize("behaviour", ["until_close_cut", "until_close_empty"])
def test_stream_that_breaks_off_with_its_connection_is_not_complete(
    run_with_fleet, behaviour
):
    """Guards against a part of a stream, or none, that looks complete."""

    async def scenario(fleet):
        for server in fleet.pool_servers:
            server.behaviour = behaviour
        with contextlib.suppress(asyncio.IncompleteReadError):
            status, _, _ = await fleet.send_request(
                STREAM_PATH, tokens=(100, 50)
            )
            assert status == 502

    run_with_fleet(scenario)
