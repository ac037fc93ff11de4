"""Tests of what is logged about responses that end incomplete."""

from __future__ import annotations

import asyncio

import pytest

from testing.users_platform import http_messages
from testing.users_platform import test_planned_stops
from testing.users_platform import test_requests


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
        await test_planned_stops.store_long_timeouts(fleet)
        line = await send_stream_that_is_cut(fleet, stop=True, delay_s=1.0)
        assert (line["request"], line["stopping"]) == ("cut", True)
        assert "stopping" in line["reason"]
        assert line["left_s"] > 0

    run_with_fleet(scenario, routers=2, settings_changes={"grace_s": 3.0})


def test_stopped_router_counts_the_streams_that_it_cut(run_with_fleet):
    """Guards against a stop that reports no cut response. Issue 63."""

    async def scenario(fleet):
        await test_planned_stops.store_long_timeouts(fleet)
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
