"""Whole path on loopback: callers, real routers, stand-ins for the rest."""

from __future__ import annotations

import asyncio

import pytest

from testing.users_platform import local_fleet

TOKENS = (100, 50)


def pieces(first: int, last: int) -> bytes:
    return b"".join(
        b"id: %d\ndata: piece %d\n\n" % (number, number)
        for number in range(first, last + 1)
    )


def test_stream_is_passed_on_and_charged(deployed):
    """Guards against a start without service, and a bill without delivery."""

    async def scenario(site):
        status, headers, body = await site.request("/digest/1", tokens=TOKENS)
        assert status == 200
        assert headers["x-jasminetally-server-signature"].startswith("engine")
        assert body == pieces(1, 4)
        await until(lambda: site.events("request_ended"))
        (ended,) = site.events("request_ended")
        assert ended["tokens"] == 100 + 4 * local_fleet.TOKENS_PER_EVENT
        assert ended["outcome"] == "answered_200"

    deployed(scenario)


def test_request_reaches_its_server_unchanged(deployed):
    """Guards against headers that callers must not set, or lose."""

    async def scenario(site):
        status, _, body = await site.request(
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
        (seen,) = [
            found for app in site.apps for found in app.received_requests
        ]
        method, target, headers, sent = seen
        assert (method, target, sent) == (
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

    deployed(scenario)


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
def test_malformed_request_reaches_no_server(deployed, path, options, status):
    """Guards against a request that runs although it is not allowed."""

    async def scenario(site):
        found, _, _ = await site.request(path, **options)
        assert found == status
        servers = site.engines + site.apps
        assert not any(server.received_requests for server in servers)

    deployed(scenario)


def test_safe_request_is_repeated_after_a_failure(deployed):
    """Guards against failures that another server would not have had."""

    async def scenario(site):
        for number in range(6):
            site.apps[0].behaviour = "cut"
            status, _, body = await site.request(
                "/read/", request_id=f"id-{number}"
            )
            assert (status, body) == (200, b"answer to hello")

    deployed(scenario)


@pytest.mark.parametrize("fault", ["cut", "garbage", "unsigned"])
def test_unsafe_request_is_never_repeated(deployed, fault):
    """Guards against a room status that is changed twice."""

    async def scenario(site):
        for app in site.apps:
            app.behaviour = fault
        status, headers, _ = await site.request("/flip/")
        assert status == 502
        assert "retry-after" not in headers
        assert sum(len(app.received_requests) for app in site.apps) == 1

    deployed(scenario)


def test_refusal_by_the_server_says_not_run(deployed):
    """Guards against a refusal that the caller can't rely on."""

    async def scenario(site):
        for app in site.apps:
            app.behaviour = "refuse"
        status, headers, body = await site.request("/flip/")
        assert status == 503
        assert float(headers["retry-after"]) > 0
        assert b'"type":"not_run"' in body

    deployed(scenario)


def test_answer_that_ends_with_its_connection_is_complete(deployed):
    """Guards against answers without a length that are taken as broken."""

    async def scenario(site):
        for app in site.apps:
            app.behaviour = "until_close"
        status, _, body = await site.request("/flip/")
        assert (status, body) == (200, b"answer to hello")

    deployed(scenario)


def test_answer_of_another_request_is_skipped(deployed):
    """Guards against one caller that gets the answer of another."""

    async def scenario(site):
        for app in site.apps:
            app.behaviour = "stray"
        status, _, body = await site.request("/flip/")
        assert (status, body) == (200, b"answer to hello")

    deployed(scenario)


def test_bytes_after_an_answer_belong_to_nobody(deployed):
    """Guards against extra bytes at the start of the next answer."""

    async def scenario(site):
        for app in site.apps:
            app.behaviour = "extra"
        for number in range(4):
            status, _, body = await site.request(
                "/flip/", request_id=f"id-{number}"
            )
            assert (status, body) == (200, b"answer to hello")

    deployed(scenario)


def test_broken_stream_goes_on_at_another_engine(deployed):
    """Guards against a stream with a gap, a repeat or two heads."""

    async def scenario(site):
        def recover():
            for engine in site.engines:
                engine.behaviour = "well"

        for engine in site.engines:
            engine.behaviour = "cut"
            engine.on_stream_truncated = recover
        status, _, body = await site.request("/task/", tokens=TOKENS)
        assert (status, body) == (200, pieces(1, 4))
        resumed = [
            headers.get("last-event-id")
            for engine in site.engines
            for _, _, headers, _ in engine.received_requests
        ]
        assert sorted(resumed, key=str) == ["1", None]

    deployed(scenario)


def test_broken_stream_that_may_not_resume_looks_broken(deployed):
    """Guards against half a reflow that is taken as whole."""

    async def scenario(site):
        for engine in site.engines:
            engine.behaviour = "cut"
        with pytest.raises(asyncio.IncompleteReadError):
            await site.request("/digest/", tokens=TOKENS)
        assert (
            sum(len(engine.received_requests) for engine in site.engines) == 1
        )

    deployed(scenario)


def test_server_stops_when_its_caller_leaves(deployed):
    """Guards against engines at work for callers that are gone."""

    async def scenario(site):
        for app in site.apps:
            app.behaviour = "hang"
        _, writer = await site.connect()
        writer.write(site.encode("/flip/"))
        await until(lambda: any(app.running_requests for app in site.apps))
        writer.transport.abort()
        await until(lambda: not any(app.running_requests for app in site.apps))

    deployed(scenario)


def test_request_ends_at_the_time_of_its_route(deployed):
    """Guards against callers kept waiting for a silent server."""

    async def scenario(site):
        for app in site.apps:
            app.behaviour = "hang"
        status, _, body = await site.request("/flip/", deadline_ms=400)
        assert status == 504
        assert b'"type":"unknown"' in body
        await until(lambda: not any(app.running_requests for app in site.apps))

    deployed(scenario)


def test_connections_are_kept_both_ways(deployed):
    """Guards against a handshake for each request."""

    async def scenario(site):
        reader, writer = await site.connect()
        for number in range(8):
            writer.write(site.encode("/read/", request_id=f"id-{number}"))
            status, _, _ = await site.read_response(reader)
            assert status == 200
        writer.transport.abort()
        assert sum(app.accepted_connections for app in site.apps) <= 2

    deployed(scenario)


def test_pipelined_requests_are_answered_in_order(deployed):
    """Guards against answers that change places on one connection."""

    async def scenario(site):
        reader, writer = await site.connect()
        for number in range(3):
            writer.write(
                site.encode(
                    "/read/", request_id=f"id-{number}", body=b"%d" % number
                )
            )
        for number in range(3):
            status, headers, body = await site.read_response(reader)
            assert status == 200
            assert body == b"answer to %d" % number
            assert headers["x-jasminetally-attempt-id"] == f"id-{number}"
        writer.transport.abort()

    deployed(scenario)


async def until(condition, timeout_s: float = 20.0) -> None:
    async with asyncio.timeout(timeout_s):
        while not condition():
            await asyncio.sleep(0.01)


def test_request_that_may_have_run_is_never_called_not_run(deployed):
    """Guards against a refusal that is false after a broken first attempt.

    The first server breaks off, and the others accept no connection.
    """

    async def scenario(site):
        def refuse_connections():
            for app in site.apps:
                app.refuse_connections()

        for app in site.apps:
            app.behaviour = "cut"
            app.on_request = refuse_connections
        status, headers, body = await site.request("/read/")
        assert sum(len(app.received_requests) for app in site.apps) == 1
        assert status == 502
        assert b'"type":"unknown"' in body
        assert "retry-after" not in headers

    deployed(scenario, apps=5)


def test_fault_of_the_program_is_logged_with_its_place(deployed):
    """Guards against faults that are printed as text between the log lines.

    Found by the soak: a handler failed on each request, and no line said so.
    """

    async def scenario(site):
        def fail(*args):
            raise RuntimeError("broken on purpose")

        site.nodes[0]._forwarder.handle_request = fail
        with pytest.raises(asyncio.IncompleteReadError):
            await site.request("/read/")
        await until(lambda: site.events("internal_error"))
        (line,) = site.events("internal_error")
        assert "broken on purpose" in line["error"]
        assert "test_requests.py" in line["error"]

    deployed(scenario)
