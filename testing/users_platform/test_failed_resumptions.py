"""Tests of servers that respond with an error when a stream should go on."""

from __future__ import annotations

import asyncio

import pytest

from testing.users_platform import test_requests

STREAMS = 4
ERROR_TEXT = b"no such stream here"
EVENT_STREAM = b"Content-Type: text/event-stream\r\n"


def with_length(status: int, headers: bytes = b"") -> bytes:
    return b"HTTP/1.1 %d X\r\n%bContent-Length: %d\r\n\r\n%b" % (
        status,
        headers,
        len(ERROR_TEXT),
        ERROR_TEXT,
    )


def with_event(body: bytes) -> bytes:
    return (
        b"HTTP/1.1 200 X\r\n"
        + EVENT_STREAM
        + b"Transfer-Encoding: chunked\r\n\r\n"
        + b"%x\r\n%b\r\n0\r\n\r\n" % (len(body), body)
    )


RESUMPTIONS = {
    **{
        str(status): with_length(status)
        for status in (200, 206, 302, 404, 409, 429, 500, 503)
    },
    "200-stream-type": with_length(200, EVENT_STREAM),
    "206-stream-type": with_length(206, EVENT_STREAM),
    "404-stream-type": with_length(404, EVENT_STREAM),
    "204": b"HTTP/1.1 204 X\r\n\r\n",
    "304": b"HTTP/1.1 304 X\r\n\r\n",
    "chunks": b"HTTP/1.1 500 X\r\nTransfer-Encoding: chunked\r\n\r\n"
    + b"13\r\n%b\r\n0\r\n\r\n" % ERROR_TEXT,
    "until-close": b"HTTP/1.1 404 X\r\n\r\n" + ERROR_TEXT,
    "empty-until-close": b"HTTP/1.1 200 X\r\n" + EVENT_STREAM + b"\r\n",
    "long": b"HTTP/1.1 404 X\r\nContent-Length: 300000\r\n\r\n"
    + ERROR_TEXT * 16_000,
    "error-event": with_event(b"event: error\ndata: " + ERROR_TEXT + b"\n\n"),
}


@pytest.mark.parametrize(
    "resumption", RESUMPTIONS.values(), ids=list(RESUMPTIONS)
)
def test_error_in_place_of_a_resumed_stream_is_not_relayed(
    run_with_fleet, resumption
):
    """Guards against error texts in streams, and streams cut as if whole."""

    async def scenario(fleet):
        for server in fleet.pool_servers:
            server.behaviour = "cut"
            server.resumption = resumption
        for number in range(STREAMS):
            reader, writer = await fleet.connect()
            writer.write(
                fleet.encode_request(
                    "/task/",
                    request_id=f"id-{number}",
                    tokens=test_requests.REQUEST_TOKENS,
                )
            )
            async with asyncio.timeout(5.0):
                response = await reader.read()
            writer.transport.abort()
            head, _, body = response.partition(b"\r\n\r\n")
            assert head.startswith(b"HTTP/1.1 200")
            assert b"HTTP/1.1" not in body
            assert ERROR_TEXT not in body
            (event,) = body.splitlines(keepends=True)[1:2]
            assert event == b"id: 1\n"
            assert b"id: 2" not in body
            # No last chunk: the caller sees that the stream is not whole.
            assert not body.endswith(b"0\r\n\r\n")

    run_with_fleet(scenario)


def test_stream_goes_on_at_a_third_server_after_an_error(run_with_fleet):
    """Guards against streams given up while another server can go on."""

    async def scenario(fleet):
        await fleet.store_configuration(
            routes=[
                fleet.make_route(
                    "/task/",
                    "streaming",
                    "pool",
                    max_attempts=3,
                    resumable=True,
                )
            ]
        )
        await asyncio.sleep(1.0)
        failed = []

        def recover_others():
            # The next server responds with an error, the one after goes on.
            for server in fleet.pool_servers:
                server.behaviour = "well"
                server.resumption = with_length(404)

        def recover_all(request):
            if "last-event-id" in request[2] and not failed:
                failed.append(request)
                return
            for server in fleet.pool_servers:
                server.resumption = None

        for server in fleet.pool_servers:
            server.behaviour = "cut"
            server.on_stream_truncated = recover_others
            server.on_arrival = recover_all
        status, _, body = await fleet.send_request(
            "/task/", tokens=test_requests.REQUEST_TOKENS
        )
        assert (status, body) == (200, test_requests.expected_events(1, 4))
        assert len(failed) == 1

    run_with_fleet(scenario, pool_versions=("v1", "v1", "v1"))


def test_stream_of_a_safe_route_is_not_joined_from_two_runs(run_with_fleet):
    """Guards against a stream that goes on where none may be resumed."""

    async def scenario(fleet):
        route = fleet.make_route("/task/", "safe", "pool")
        await fleet.store_configuration(routes=[route])
        await test_requests.wait_until(
            lambda: len(fleet.get_log_events("configuration_in_force")) == 2
        )

        fleet.cut_next_stream()
        reader, writer = await fleet.connect()
        writer.write(
            fleet.encode_request(
                "/task/",
                request_id="safe",
                tokens=test_requests.REQUEST_TOKENS,
                headers=("Connection: close",),
            )
        )
        async with asyncio.timeout(5.0):
            response = await reader.read()
        writer.transport.abort()
        assert b"id: 1\n" in response
        assert b"id: 2\n" not in response
        # No last chunk: the caller sees that the stream is not whole.
        assert not response.endswith(b"0\r\n\r\n")
        arrived = sum(
            len(server.received_requests) for server in fleet.pool_servers
        )
        assert arrived == 1

    run_with_fleet(scenario)
