"""Tests of callers that take their time to send a body."""

from __future__ import annotations

import asyncio

import pytest

from testing.users_platform import http_messages
from testing.users_platform import test_requests

# Time limit of the sample routes.
ROUTE_LIMIT_S = 3.0
PIECES = 4
PIECE_PAUSE_S = 0.4


async def send_slowly(fleet, path, *, deadline_ms, **options):
    """Send a request whose body arrives in chunks; return the response."""
    reader, writer = await fleet.connect()
    try:
        writer.write(
            http_messages.encode_chunked_start(
                path, deadline_ms=deadline_ms, **options
            )
        )
        for _ in range(PIECES):
            writer.write(b"5\r\nhello\r\n")
            await asyncio.sleep(PIECE_PAUSE_S)
        writer.write(b"0\r\n\r\n")
        return await fleet.read_response(reader)
    finally:
        writer.transport.abort()


@pytest.mark.parametrize("deadline_ms", [3_000, 20_000])
@pytest.mark.parametrize(
    ("path", "options"),
    [("/flip/", {}), ("/task/", {"tokens": test_requests.REQUEST_TOKENS})],
)
def test_time_of_the_upload_is_not_taken_from_the_answer(
    run_with_fleet, path, options, deadline_ms
):
    """Guards against sound answers cut after a slow upload. Issue 60."""

    async def scenario(fleet):
        for server in fleet.app_servers:
            server.delay_s = ROUTE_LIMIT_S - 0.8
        for server in fleet.pool_servers:
            server.delay_s = (ROUTE_LIMIT_S - 0.8) / 4
        status, _, _ = await send_slowly(
            fleet, path, deadline_ms=deadline_ms, **options
        )
        assert status == 200
        (told_ms,) = [
            int(headers["x-jasminetally-deadline-ms"])
            for server in fleet.app_servers + fleet.pool_servers
            for _, _, headers, _ in server.received_requests
        ]
        assert told_ms <= ROUTE_LIMIT_S * 1000

    run_with_fleet(scenario)


def test_limit_ends_the_wait_after_a_slow_upload(run_with_fleet):
    """Guards against requests without an answer after their time limit."""

    async def scenario(fleet):
        for server in fleet.app_servers:
            server.behaviour = "hang"
        status, _, _ = await send_slowly(fleet, "/flip/", deadline_ms=20_000)
        assert status == 504

    run_with_fleet(scenario)
