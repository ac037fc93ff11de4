"""Tests of requests from the caller through a router to a backend server."""

from __future__ import annotations

import asyncio
import time

import pytest

from jasminetally._forward import connection_pool
from jasminetally._forward import request_reader
from jasminetally._forward import response_relay
from jasminetally._forward import server_attempt
from testing.users_platform import local_fleet

# Prompt tokens and largest number of output tokens of a request.
REQUEST_TOKENS = (100, 50)


def expected_events(first: int, last: int) -> bytes:
    """Return the events with these numbers as the stand-in sends them."""
    return b"".join(
        b"id: %d\ndata: piece %d\n\n" % (number, number)
        for number in range(first, last + 1)
    )


def test_stream_is_relayed_and_charged(run_with_fleet):
    """Guards against a stream that is incomplete or charged incorrectly."""

    async def scenario(fleet):
        status, headers, body = await fleet.send_request(
            "/digest/1", tokens=REQUEST_TOKENS
        )
        assert status == 200
        assert headers["x-jasminetally-server-signature"].startswith("engine")
        assert body == expected_events(1, 4)
        await wait_until(lambda: fleet.get_log_events("request_ended"))
        (ended,) = fleet.get_log_events("request_ended")
        assert ended["tokens"] == 100 + 4 * local_fleet.TOKENS_PER_EVENT
        assert ended["outcome"] == "answered_200"

    run_with_fleet(scenario)


def test_request_reaches_its_server_unchanged(run_with_fleet):
    """Guards against changed requests, and headers that callers can forge."""

    async def scenario(fleet):
        status, _, body = await fleet.send_request(
            "/flip/a%20b?x=1",
            method="PATCH",
            body=b"\x00\xff" * 10,
            headers=(
                "X-Own: kept",
                "X-Jasminetally-Tenant: forged",
                "X-Jasminetally-Hold: forged",
                "Connection: X-Secret",
                "X-Secret: dropped",
            ),
        )
        assert status == 200
        assert body == b"answer to " + b"\x00\xff" * 10
        (received,) = [
            request
            for server in fleet.app_servers
            for request in server.received_requests
        ]
        method, target, headers, received_body = received
        assert (method, target, received_body) == (
            "PATCH",
            "/flip/a%20b?x=1",
            b"\x00\xff" * 10,
        )
        assert headers["x-own"] == "kept"
        assert headers["x-jasminetally-tenant"] == "acme"
        assert headers["x-jasminetally-expected-instance"].startswith("app")
        assert 0 < int(headers["x-jasminetally-deadline-ms"]) <= 3_000
        for name in ("authorization", "x-secret", "x-jasminetally-hold"):
            assert name not in headers

    run_with_fleet(scenario)


@pytest.mark.parametrize(
    ("path", "options", "status"),
    [
        ("/nowhere/", {}, 404),
        ("/flip/", {"key": "unknown"}, 401),
        ("/flip/", {"headers": ("Host: second.example",)}, 400),
        ("/flip/", {"deadline_ms": "soon"}, 400),
        ("/digest/", {"tokens": (100, "many")}, 400),
        ("/flip/", {"headers": ("Transfer-Encoding: chunked",)}, 400),
        ("/flip/", {"headers": ("X-Long: " + 20_000 * "x",)}, 431),
        ("/flip/", {"body": b"x" * 100_001}, 413),
    ],
)
def test_invalid_request_reaches_no_server(
    run_with_fleet, path, options, status
):
    """Guards against a request that runs although it must be rejected."""

    async def scenario(fleet):
        received_status, _, _ = await fleet.send_request(path, **options)
        assert received_status == status
        servers = fleet.pool_servers + fleet.app_servers
        assert not any(server.received_requests for server in servers)

    run_with_fleet(scenario)


def test_safe_request_is_retried_after_a_failure(run_with_fleet):
    """Guards against errors that a retry on another server avoids."""

    async def scenario(fleet):
        for number in range(6):
            fleet.app_servers[0].behaviour = "cut"
            status, _, body = await fleet.send_request(
                "/read/", request_id=f"id-{number}"
            )
            assert (status, body) == (200, b"answer to hello")

    run_with_fleet(scenario)


@pytest.mark.parametrize("fault", ["cut", "garbage", "unsigned"])
def test_unsafe_request_is_never_retried(run_with_fleet, fault):
    """Guards against an unsafe request that takes effect twice."""

    async def scenario(fleet):
        for server in fleet.app_servers:
            server.behaviour = fault
        status, headers, _ = await fleet.send_request("/flip/")
        assert status == 502
        assert "retry-after" not in headers
        assert (
            sum(len(server.received_requests) for server in fleet.app_servers)
            == 1
        )

    run_with_fleet(scenario)


def test_refusal_by_all_servers_is_reported_as_not_run(run_with_fleet):
    """Guards against a refusal that does not say that a retry is safe."""

    async def scenario(fleet):
        for server in fleet.app_servers:
            server.behaviour = "refuse"
        status, headers, body = await fleet.send_request("/flip/")
        assert status == 503
        assert float(headers["retry-after"]) > 0
        assert b'"type":"not_run"' in body

    run_with_fleet(scenario)


def test_response_that_ends_with_its_connection_is_complete(run_with_fleet):
    """Guards against responses without a length taken as truncated."""

    async def scenario(fleet):
        for server in fleet.app_servers:
            server.behaviour = "until_close"
        status, _, body = await fleet.send_request("/flip/")
        assert (status, body) == (200, b"answer to hello")

    run_with_fleet(scenario)


def test_response_with_another_request_id_is_skipped(run_with_fleet):
    """Guards against a caller that gets the response of another."""

    async def scenario(fleet):
        for server in fleet.app_servers:
            server.behaviour = "stray"
        status, _, body = await fleet.send_request("/flip/")
        assert (status, body) == (200, b"answer to hello")

    run_with_fleet(scenario)


def test_bytes_after_a_response_are_discarded(run_with_fleet):
    """Guards against extra bytes at the start of the next response."""

    async def scenario(fleet):
        for server in fleet.app_servers:
            server.behaviour = "extra"
        for number in range(4):
            status, _, body = await fleet.send_request(
                "/flip/", request_id=f"id-{number}"
            )
            assert (status, body) == (200, b"answer to hello")

    run_with_fleet(scenario)


def test_truncated_stream_is_resumed_on_another_server(run_with_fleet):
    """Guards against a stream with a missing or repeated event or head."""

    async def scenario(fleet):
        fleet.cut_next_stream()
        status, _, body = await fleet.send_request(
            "/task/", tokens=REQUEST_TOKENS
        )
        assert (status, body) == (200, expected_events(1, 4))
        resumed = [
            headers.get("last-event-id")
            for server in fleet.pool_servers
            for _, _, headers, _ in server.received_requests
        ]
        assert sorted(resumed, key=str) == ["1", None]

    run_with_fleet(scenario)


def test_truncated_stream_that_cannot_resume_ends_in_an_error(run_with_fleet):
    """Guards against a truncated stream that the caller takes as complete."""

    async def scenario(fleet):
        for server in fleet.pool_servers:
            server.behaviour = "cut"
        with pytest.raises(asyncio.IncompleteReadError):
            await fleet.send_request("/digest/", tokens=REQUEST_TOKENS)
        assert (
            sum(len(server.received_requests) for server in fleet.pool_servers)
            == 1
        )

    run_with_fleet(scenario)


def test_request_is_cancelled_when_its_caller_disconnects(run_with_fleet):
    """Guards against servers that run requests for disconnected callers."""

    async def scenario(fleet):
        for server in fleet.app_servers:
            server.behaviour = "hang"
        _, writer = await fleet.connect()
        writer.write(fleet.encode_request("/flip/"))
        await wait_until(
            lambda: any(server.running_requests for server in fleet.app_servers)
        )
        writer.transport.abort()
        await wait_until(
            lambda: (
                not any(server.running_requests for server in fleet.app_servers)
            )
        )

    run_with_fleet(scenario)


def test_request_ends_at_its_deadline(run_with_fleet):
    """Guards against callers that wait for a server that never responds."""

    async def scenario(fleet):
        for server in fleet.app_servers:
            server.behaviour = "hang"
        status, _, body = await fleet.send_request("/flip/", deadline_ms=400)
        assert status == 504
        assert b'"type":"unknown"' in body
        await wait_until(
            lambda: (
                not any(server.running_requests for server in fleet.app_servers)
            )
        )

    run_with_fleet(scenario)


def test_connections_to_callers_and_servers_are_reused(run_with_fleet):
    """Guards against a new connection for each request."""

    async def scenario(fleet):
        reader, writer = await fleet.connect()
        for number in range(8):
            writer.write(
                fleet.encode_request("/read/", request_id=f"id-{number}")
            )
            status, _, _ = await fleet.read_response(reader)
            assert status == 200
        writer.transport.abort()
        assert (
            sum(server.accepted_connections for server in fleet.app_servers)
            <= 2
        )

    run_with_fleet(scenario)


def test_pipelined_requests_are_answered_in_order(run_with_fleet):
    """Guards against responses in another order than their requests."""

    async def scenario(fleet):
        reader, writer = await fleet.connect()
        for number in range(3):
            writer.write(
                fleet.encode_request(
                    "/read/", request_id=f"id-{number}", body=b"%d" % number
                )
            )
        for number in range(3):
            status, headers, body = await fleet.read_response(reader)
            assert status == 200
            assert body == b"answer to %d" % number
            assert headers["x-jasminetally-attempt-id"] == f"id-{number}"
        writer.transport.abort()

    run_with_fleet(scenario)


def test_requests_before_a_malformed_one_are_answered(run_with_fleet):
    """Guards against requests that were read and get no response. Issue 63."""

    async def scenario(fleet):
        for server in fleet.app_servers:
            server.delay_s = 0.2
        reader, writer = await fleet.connect()
        ids = ["id-0", "id-1", "id-2"]
        for request_id in ids:
            writer.write(fleet.encode_request("/flip/", request_id=request_id))
        writer.write(b"no request\r\n\r\n")
        for request_id in ids:
            status, headers, _ = await fleet.read_response(reader)
            assert status == 200
            assert headers["x-jasminetally-attempt-id"] == request_id
        assert await reader.read() == b""

    run_with_fleet(scenario)


def fail_on_purpose(*args, **options):
    """Fail as no router should."""
    raise RuntimeError("broken on purpose")


async def wait_until_running(servers, requests: int) -> None:
    """Wait until the servers run a number of requests in all."""
    await wait_until(
        lambda: sum(server.running_requests for server in servers) == requests
    )


async def wait_until(condition, timeout_s: float = 20.0) -> None:
    """Wait until a function returns true; fail after ``timeout_s`` seconds."""
    async with asyncio.timeout(timeout_s):
        while not condition():
            await asyncio.sleep(0.01)


def test_request_that_may_have_run_is_never_reported_as_not_run(run_with_fleet):
    """Guards against a false "not run" after a first attempt that failed.

    The first server truncates its response, and the others refuse
    connections.
    """

    async def scenario(fleet):
        def refuse_connections():
            for server in fleet.app_servers:
                server.refuse_connections()

        for server in fleet.app_servers:
            server.behaviour = "cut"
            server.on_request = refuse_connections
        status, headers, body = await fleet.send_request("/read/")
        assert (
            sum(len(server.received_requests) for server in fleet.app_servers)
            == 1
        )
        assert status == 502
        assert b'"type":"unknown"' in body
        assert "retry-after" not in headers

    run_with_fleet(scenario, app_servers=5)


def test_unhandled_exception_is_logged_with_its_source_file(run_with_fleet):
    """Guards against tracebacks printed as plain text between log lines.

    In a soak test a handler failed on each request, and no log line said so.
    """

    async def scenario(fleet):
        fleet.nodes[0]._forwarder.handle_request = fail_on_purpose
        with pytest.raises(asyncio.IncompleteReadError):
            await fleet.send_request("/read/")
        await wait_until(lambda: fleet.get_log_events("internal_error"))
        (line,) = fleet.get_log_events("internal_error")
        assert "broken on purpose" in line["error"]
        assert "test_requests.py" in line["error"]

    run_with_fleet(scenario)


def test_unhandled_exception_ends_in_an_error_response(
    run_with_fleet, monkeypatch
):
    """Guards against a request without a response or log line. Issue 63."""
    monkeypatch.setattr(server_attempt.ServerAttempt, "run", fail_on_purpose)

    async def scenario(fleet):
        status, headers, body = await fleet.send_request("/flip/")
        assert status == 502
        assert headers["connection"] == "close"
        assert b"outcome_unknown" in body
        await wait_until(lambda: fleet.get_log_events("internal_error"))
        (line,) = fleet.get_log_events("request_ended")
        assert (line["request"], line["outcome"]) == ("id-1", "internal_error")

    run_with_fleet(scenario)


def test_unhandled_exception_while_reading_ends_in_an_error_response(
    run_with_fleet, monkeypatch
):
    """Guards against a request without a response or log line. Issue 63."""
    monkeypatch.setattr(
        request_reader.RequestReader, "read_request", fail_on_purpose
    )

    async def scenario(fleet):
        status, headers, body = await fleet.send_request("/flip/")
        assert status == 503
        assert headers["connection"] == "close"
        assert b"did not run" in body
        await wait_until(lambda: fleet.get_log_events("internal_error"))
        (line,) = fleet.get_log_events("request_refused")
        assert (line["request"], line["code"]) == ("id-1", "internal_error")
        assert not fleet.nodes[0]._forwarder.active_requests

    run_with_fleet(scenario)


def test_failure_of_the_router_is_not_logged_as_a_caller_who_left(
    run_with_fleet, monkeypatch
):
    """Guards against a cut response that is put down to its caller."""
    monkeypatch.setattr(
        response_relay.ResponseRelay, "_is_new", fail_on_purpose
    )

    async def scenario(fleet):
        with pytest.raises(asyncio.IncompleteReadError):
            await fleet.send_request("/digest/1", tokens=REQUEST_TOKENS)
        await wait_until(lambda: fleet.get_log_events("request_ended"))
        (ended,) = fleet.get_log_events("request_ended")
        assert ended["outcome"] == "internal_error"

    run_with_fleet(scenario)


def test_requests_are_served_while_the_process_is_slow(
    run_with_fleet, monkeypatch
):
    """Guards against a stall that makes sound servers look unreachable."""
    # All stalls together stay below the route's timeout.
    monkeypatch.setattr(connection_pool, "CONNECT_TIMEOUT_S", 0.1)

    async def stall_the_event_loop():
        for _ in range(16):
            # Blocks the event loop on purpose.
            time.sleep(0.11)  # noqa: ASYNC251
            await asyncio.sleep(0)

    async def scenario(fleet):
        *responses, _ = await asyncio.gather(
            *(
                fleet.send_request("/read/", request_id=f"id-{number}")
                for number in range(12)
            ),
            stall_the_event_loop(),
        )
        assert {status for status, _, _ in responses} == {200}

    run_with_fleet(scenario, app_servers=1)
