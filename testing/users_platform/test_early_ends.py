"""Tests of streams that end early, by what callers get on their sockets."""

from __future__ import annotations

import asyncio

import pytest

from testing.users_platform import framed_server
from testing.users_platform import http_messages
from testing.users_platform import test_requests

EVENTS = 6
FRAMINGS = ("chunks", "length", "connection")
# Endings of a stream at which a piece or the stated end is missing, except for
# one after an event where the end of the connection is the end of the stream.
BROKEN_ENDINGS = (
    *(
        (framing, ending)
        for framing in FRAMINGS
        for ending in (
            "close_inside",
            "close_after_head",
            "reset_after_head",
            "reset_between",
            "reset_inside",
        )
    ),
    ("chunks", "close_between"),
    ("chunks", "close_at_end"),
    ("chunks", "reset_at_end"),
    ("connection", "reset_at_end"),
    ("chunks", "close_in_terminator"),
    ("length", "close_between"),
    ("length", "short_length"),
)
WHOLE_ENDINGS = (
    *((framing, "whole") for framing in FRAMINGS),
    ("chunks", "trailer"),
    ("chunks", "extra"),
    ("chunks", "reset_with_end"),
    ("length", "extra"),
)
# Streams of the first path can't be resumed, those of the second can.
PATHS = ("/digest/", "/task/")
CALLERS = ("HTTP/1.1", "HTTP/1.1 closing", "HTTP/1.0")


def set_streams(fleet, framing: str, ending: str, resumed_ending: str) -> None:
    for server in fleet.pool_servers:
        server.framing = framing
        server.ending = ending
        server.resumed_ending = resumed_ending


async def send_stream(fleet, path: str, caller: str, number: int = 0):
    """Send a request for a stream.

    Returns:
        The status, the body and whether it looks complete; None if the
        connection ended before the head.
    """
    headers = ("Connection: close",) if caller.endswith("closing") else ()
    data = fleet.encode_request(
        path,
        request_id=f"id-{number}",
        tokens=test_requests.REQUEST_TOKENS,
        headers=headers,
    )
    reader, writer = await fleet.connect(0)
    body = []
    try:
        writer.write(data.replace(b"HTTP/1.1", caller[:8].encode(), 1))
        status, headers = await http_messages.read_response_head(reader)
        if "content-length" in headers or "transfer-encoding" in headers:
            async for chunk in http_messages.read_body_chunks(reader, headers):
                body.append(chunk)
        else:
            while data := await reader.read(65_536):
                body.append(data)
        return status, b"".join(body), True
    except (asyncio.IncompleteReadError, OSError):
        return status, b"".join(body), False
    finally:
        writer.transport.abort()


@pytest.fixture(scope="module")
def run_streams(run_with_fleet):
    """Return a function that sends streams and returns what callers got."""

    def run(path, framing, ending, resumed_ending="whole"):
        async def scenario(fleet):
            set_streams(fleet, framing, ending, resumed_ending)
            return [
                await send_stream(fleet, path, caller, number)
                for number, caller in enumerate(CALLERS)
            ]

        return run_with_fleet(
            scenario, make_pool_server=framed_server.FramedServer
        )

    return run


@pytest.mark.parametrize("path", PATHS)
@pytest.mark.parametrize(("framing", "ending"), BROKEN_ENDINGS)
def test_broken_stream_does_not_look_complete(
    run_streams, path, framing, ending
):
    """Guards against an early end that looks whole, to HTTP/1.0 too."""
    for status, body, complete in run_streams(path, framing, ending, ending):
        assert not (status == 200 and complete)
        if status == 200:
            assert test_requests.expected_events(1, EVENTS).startswith(body)


@pytest.mark.parametrize("path", PATHS)
@pytest.mark.parametrize(("framing", "ending"), WHOLE_ENDINGS)
def test_whole_stream_looks_complete(run_streams, path, framing, ending):
    """Guards against a reset of an HTTP/1.0 caller that loses the end."""
    expected = (200, test_requests.expected_events(1, EVENTS), True)
    for result in run_streams(path, framing, ending):
        assert result == expected


@pytest.mark.parametrize(
    ("path", "ending"),
    [
        *((path, "exit_between") for path in PATHS),
        # A process is known only where streams may be resumed.
        ("/task/", "restart_between"),
    ],
)
@pytest.mark.parametrize("framing", FRAMINGS)
def test_stream_of_a_server_that_ended_does_not_look_complete(
    run_with_fleet, path, ending, framing
):
    """Guards against streams that end with the process of their server.

    Without a length or chunks, the operating system's end of the connection
    looks like that of the stream.
    """

    async def scenario(fleet):
        set_streams(fleet, framing, ending, "whole")
        status, body, complete = await send_stream(fleet, path, CALLERS[0])
        expected = test_requests.expected_events(1, EVENTS)
        assert status == 200
        assert expected.startswith(body)
        assert not complete or body == expected

    run_with_fleet(scenario, make_pool_server=framed_server.FramedServer)
