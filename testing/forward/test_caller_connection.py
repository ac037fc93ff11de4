"""Tests of callers' connections."""

from __future__ import annotations

import asyncio
import time

import pytest

from jasminetally._deployment import caller_limits
from jasminetally._forward import caller_connection
from jasminetally._overload import client_refusals
from jasminetally._overload import listener_guard
from jasminetally._overload import memory_tracker

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


class UnreadTransport(asyncio.Transport):
    """Transport of a caller that reads nothing.

    Attributes:
        written: What was written and not read.
        closed: Whether it is to be closed once everything has been read.
        aborted: Whether it was closed at once.
        reading: Whether reading is not paused.
    """

    def __init__(self, conn, limit_bytes=1_000):
        super().__init__()
        self.written = bytearray()
        self.closed = False
        self.aborted = False
        self.reading = True
        self._conn = conn
        self._limit_bytes = limit_bytes

    def write(self, data):
        """Keep the data; make the connection wait when there is much."""
        self.written += data
        if len(self.written) > self._limit_bytes:
            self._conn.pause_writing()

    def get_write_buffer_size(self):
        """Return the number of bytes that were not read."""
        return len(self.written)

    def is_closing(self):
        """Return whether nothing more is written or read."""
        return self.closed or self.aborted

    def abort(self):
        """Note that it was closed at once."""
        self.aborted = True

    def close(self):
        """Note that it is to be closed."""
        self.closed = True

    def pause_reading(self):
        """Note that nothing is received."""
        self.reading = False

    def resume_reading(self):
        """Note that data are received again."""
        self.reading = True

    def read_all(self):
        """Read what was written, as a caller that reads again."""
        self.written.clear()
        self._conn.resume_writing()


def run_unread(scenario, *, limit_bytes=10_000_000, answer_bytes=600):
    """Run a scenario with a connection whose caller reads nothing.

    Returns:
        The reasons of refusals.
    """
    reasons = []
    refusals = client_refusals.ClientRefusals(
        lambda listener, reason: reasons.append(reason), lambda report: None
    )
    guard = listener_guard.ListenerGuard(
        "callers", memory_tracker.MemoryTracker(limit_bytes), 10, refusals
    )

    async def main():
        handled = []

        async def answer(caller, request):
            handled.append(request.target)
            caller.write_head(200, [], length=answer_bytes)
            caller.write_body(answer_bytes * b"x")
            caller.finish_response()

        conn = caller_connection.CallerConnection(
            answer, lambda: LIMITS, set(), guard=guard
        )
        transport = UnreadTransport(conn)
        conn.connection_made(transport)
        await scenario(conn, transport, handled)

    asyncio.run(main())
    return reasons


async def run_handlers():
    """Let the handlers of a few requests run, one after the other."""
    for _ in range(20):
        await asyncio.sleep(0)


def test_requests_wait_while_answers_are_not_read():
    """Guards against answers that fill the memory. Issue 72."""

    async def scenario(conn, transport, handled):
        conn.data_received(50 * encode_request("/"))
        await run_handlers()
        assert len(handled) == 2
        conn.data_received(encode_request("/"))
        assert not transport.reading
        transport.read_all()
        await run_handlers()
        assert len(handled) == 4

    assert not run_unread(scenario)


def test_every_pipelined_request_is_answered_in_the_end():
    """Guards against requests that stay behind when reading goes on."""

    async def scenario(conn, transport, handled):
        for number in range(60):
            conn.data_received(encode_request(f"/{number}"))
        for _ in range(60):
            await run_handlers()
            transport.read_all()
        assert handled == [f"/{number}".encode() for number in range(60)]
        assert transport.reading
        assert not transport.aborted

    assert not run_unread(scenario)


def test_answers_that_nobody_reads_are_dropped_at_the_limit():
    """Guards against an answer without a reader that holds memory."""

    async def scenario(conn, transport, handled):
        conn.data_received(encode_request("/"))
        await run_handlers()
        assert handled
        assert transport.aborted

    reasons = run_unread(scenario, limit_bytes=100_000, answer_bytes=95_000)
    assert reasons == ["answers_unread"]


def test_request_without_memory_is_refused_as_not_run():
    """Guards against a request held until its deadline. Issue 72."""

    async def scenario(conn, transport, handled):
        conn.data_received(encode_request("/"))
        await run_handlers()
        assert not handled
        assert transport.written.startswith(b"HTTP/1.1 503 ")
        assert b"Retry-After: " in transport.written
        assert b"memory_full" in transport.written
        assert b"Connection: close" in transport.written

    assert run_unread(scenario, limit_bytes=20_000) == ["memory_full"]


def test_arriving_request_gives_way_as_not_run():
    """Guards against memory that an unfinished request keeps."""

    async def scenario(conn, transport, handled):
        conn.data_received(b"GET / HTTP/1.1\r\n" + 40 * b"a:\r\n")
        conn.release_memory()
        await run_handlers()
        assert not handled
        assert transport.written.startswith(b"HTTP/1.1 503 ")
        conn.data_received(b"\r\n" + encode_request("/behind"))
        await run_handlers()
        assert not handled

    assert run_unread(scenario) == ["memory_full"]


def test_caller_that_reads_nothing_is_closed_after_the_idle_time():
    """Guards against answers that are kept for good. Issue 72."""

    async def scenario(conn, transport, handled):
        conn.data_received(encode_request("/"))
        await run_handlers()
        now_s = time.monotonic()
        conn.enforce_timeouts(now_s)
        conn.enforce_timeouts(now_s + LIMITS.idle_timeout_s)
        assert not transport.aborted
        conn.enforce_timeouts(now_s + LIMITS.idle_timeout_s + 0.1)
        assert transport.aborted

    assert run_unread(scenario) == ["answers_unread"]


def test_valid_request_before_a_rejected_one_is_refused_as_not_run():
    """Guards against a status of another request. Issue 72."""

    async def scenario(conn, transport, handled):
        conn.data_received(encode_request("/") + LONG_HEAD)
        await run_handlers()
        assert not handled
        assert transport.written.startswith(b"HTTP/1.1 503 ")
        assert transport.written.count(b"HTTP/1.1 ") == 1

    assert "memory_full" in run_unread(scenario, limit_bytes=20_000)


def test_dropped_answer_without_a_length_does_not_look_complete():
    """Guards against a part that a caller takes for the whole. Issue 72."""
    body = 8_000_000 * b"x"
    conns = set()

    async def main():
        async def answer(caller, request):
            caller.write_head(200, [], length=None)
            caller.write_body(body)
            caller.finish_response()
            caller.release_memory()

        server = await asyncio.get_running_loop().create_server(
            lambda: caller_connection.CallerConnection(
                answer, lambda: LIMITS, conns
            ),
            "127.0.0.1",
            0,
        )
        reader, writer = await asyncio.open_connection(
            *server.sockets[0].getsockname()
        )
        writer.write(b"GET / HTTP/1.0\r\nHost: a\r\n\r\n")
        received = 0
        with pytest.raises(ConnectionResetError):
            while data := await reader.read(65_536):
                received += len(data)
            assert received >= len(body)
        server.close()

    asyncio.run(main())
