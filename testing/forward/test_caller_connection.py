"""Tests of callers' connections."""

from __future__ import annotations

import asyncio

import pytest

from jasminetally._deployment import caller_limits
from jasminetally._forward import caller_connection

LIMITS = caller_limits.CallerLimits(
    max_header_bytes=200,
    max_body_bytes=100,
    header_timeout_s=5.0,
    idle_timeout_s=5.0,
)


def encode_request(path, *headers):
    lines = [f"GET {path} HTTP/1.1", "Host: a", *headers, "", ""]
    return "\r\n".join(lines).encode()


LONG_HEAD = encode_request("/bad", "X-Padding: " + 300 * "a")
LONG_BODY = b"POST /bad HTTP/1.1\r\nContent-Length: 150\r\n\r\n" + 150 * b"a"
UPGRADE = encode_request("/bad", "Connection: Upgrade", "Upgrade: websocket")
CONNECT = b"CONNECT a:80 HTTP/1.1\r\nHost: a\r\n\r\n"


@pytest.fixture(name="exchange")
def make_exchange():
    """Return a function that sends bytes at once and returns the statuses.

    The paths of the requests that were handled are returned as well. Further
    bytes are sent while the first request is handled.
    """

    async def send_all(data, later, *, closing):
        handled = []

        async def answer(caller, request):
            if closing:
                caller.close_when_answered()
            if later:
                writer.write(later)
            await asyncio.sleep(0.05)
            handled.append(request.target)
            caller.write_head(200, [], length=0)

        server = await asyncio.get_running_loop().create_server(
            lambda: caller_connection.CallerConnection(
                answer, lambda: LIMITS, set()
            ),
            "127.0.0.1",
            0,
        )
        reader, writer = await asyncio.open_connection(
            *server.sockets[0].getsockname()
        )
        writer.write(data)
        async with asyncio.timeout(5.0):
            received = await reader.read()
        writer.close()
        server.close()
        statuses = [
            int(line.split()[1])
            for line in received.splitlines()
            if line.startswith(b"HTTP/1.1 ")
        ]
        return statuses, handled

    def run(data, later=b"", *, closing=False):
        return asyncio.run(send_all(data, later, closing=closing))

    return run


@pytest.mark.parametrize(
    ("rejected", "status"),
    [(LONG_HEAD, 431), (LONG_BODY, 413), (UPGRADE, 400), (CONNECT, 400)],
    ids=["long_head", "long_body", "upgrade", "connect"],
)
@pytest.mark.parametrize(
    "behind",
    [
        b"",
        encode_request("/behind"),
        encode_request("/", "Expect: 100-continue"),
    ],
    ids=["nothing", "request", "expect"],
)
@pytest.mark.parametrize("before", [0, 2])
def test_nothing_is_handled_from_a_rejected_request_on(
    exchange, before, rejected, status, behind
):
    """Guards against responses taken for those of another request. Issue 63."""
    data = before * encode_request("/before") + rejected + behind

    statuses, handled = exchange(data)

    assert handled == before * [b"/before"]
    assert statuses == (before * [200] if before else [status])


@pytest.mark.parametrize("empty_lines", [b"\r\n", b"\n\r\n"])
def test_empty_line_behind_a_request_does_not_keep_a_connection_open(
    exchange, empty_lines
):
    """Guards against a 408 to no request after the last response. Issue 63."""
    statuses, _ = exchange(encode_request("/"), empty_lines, closing=True)

    assert statuses == [200]
