"""Crowds of clients that do not behave."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import itertools
from typing import NamedTuple

from testing.users_platform import http_messages

# Limits of the users' platform on what a client may send.
HEAD_LIMIT_BYTES = 16_384
BODY_LIMIT_BYTES = 4_194_304
# Size of a piece that a client writes at a time.
WRITE_BYTES = 65_536
# Header line of the fewest bytes.
SHORT_LINE = b"a:\r\n"
CONNECT_TIMEOUT_S = 5.0

Connect = Callable[
    [str], Awaitable[tuple[asyncio.StreamReader, asyncio.StreamWriter]]
]


class Crowd(NamedTuple):
    """Clients that all do the same and read nothing.

    Attributes:
        clients: Number of clients.
        make_input: Returns the pieces that a client writes on a connection.
        listener: Listener that they connect to.
        connections: Connections that each client opens, one after the other
            once the one before is closed.
    """

    clients: int
    make_input: Callable[[], Iterator[bytes]]
    listener: str = "callers"
    connections: int = 1


async def play(crowd: Crowd, connect: Connect, released: asyncio.Event) -> None:
    """Play a crowd; connections that are left stay open until the release.

    Args:
        crowd: The crowd.
        connect: Opens a connection to a listener of a router.
        released: Set when the clients are to leave.
    """
    plays = [
        asyncio.ensure_future(_play_client(crowd, connect))
        for _ in range(crowd.clients)
    ]
    await released.wait()
    for client in plays:
        client.cancel()
    await asyncio.gather(*plays, return_exceptions=True)


async def _play_client(crowd: Crowd, connect: Connect) -> None:
    for _ in range(crowd.connections):
        writer = None
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                reader, writer = await connect(crowd.listener)
            # Nothing more is read than fits into the buffers of the system.
            reader._transport.pause_reading()
            with contextlib.suppress(OSError):
                for piece in crowd.make_input():
                    writer.write(piece)
                    await writer.drain()
                if crowd.connections == 1:
                    await asyncio.Event().wait()
        except (TimeoutError, OSError):
            # A refused connection; the next one is tried.
            await asyncio.sleep(0.05)
        finally:
            if writer is not None:
                writer.transport.abort()


def _encode_head(*lines: bytes, target: bytes = b"/read/") -> bytes:
    """Return the start of a head, without the empty line at its end."""
    return b"".join(
        [
            b"POST " + target + b" HTTP/1.1\r\n",
            b"Host: site.example\r\nX-Jasminetally-Attempt-Id: h\r\n",
            b"X-Jasminetally-Deadline-Ms: 5000\r\n",
            b"Authorization: Bearer "
            + http_messages.API_KEY.encode()
            + b"\r\n",
            *(line + b"\r\n" for line in lines),
        ]
    )


def _pad_head(head: bytes) -> bytes:
    """Return a complete head of nearly legal size, filled with short lines."""
    lines = (HEAD_LIMIT_BYTES - len(head) - 2) // len(SHORT_LINE)
    return head + lines * SHORT_LINE + b"\r\n"


def _repeat(
    start: bytes, piece: bytes, total_bytes: int | None = None
) -> Iterator[bytes]:
    """Yield a start and a piece again and again, without end or up to a total.

    Args:
        start: First bytes.
        piece: Bytes that are repeated; the last write holds whole pieces.
        total_bytes: Bytes of all pieces; None for no end.
    """
    yield start
    pieces = max(1, WRITE_BYTES // len(piece))
    if total_bytes is None:
        while True:
            yield pieces * piece
    left = total_bytes // len(piece)
    while left:
        count = min(left, pieces)
        left -= count
        yield count * piece


def _short_lines() -> Iterator[bytes]:
    return iter([_pad_head(_encode_head(b"Content-Length: 10"))])


def _pipelined_short_lines() -> Iterator[bytes]:
    head = _pad_head(_encode_head(b"Content-Length: 0"))
    return itertools.repeat(20 * head, 20)


def _large_head() -> Iterator[bytes]:
    return iter([_encode_head() + (1_048_576 // 4) * SHORT_LINE])


def _chunked(*, end: bytes) -> bytes:
    return _encode_head(b"Transfer-Encoding: chunked") + b"\r\n" + end


def _small_chunks() -> Iterator[bytes]:
    return _repeat(_chunked(end=b""), b"2\r\nab\r\n", 7 * 1_000_000)


def _unfinished_body() -> Iterator[bytes]:
    start = _encode_head(b"Content-Length: %d" % BODY_LIMIT_BYTES) + b"\r\n"
    return _repeat(start, b"x", BODY_LIMIT_BYTES - 1)


def _unread_requests(target: bytes, body: bytes = b"") -> Iterator[bytes]:
    length = b"Content-Length: %d" % len(body)
    request = _encode_head(length, target=target) + b"\r\n" + body
    return _repeat(b"", request)


def _unread_gets(target: bytes) -> Iterator[bytes]:
    return _repeat(b"", b"GET " + target + b" HTTP/1.1\r\nHost: a\r\n\r\n")


def _encode_frame(length: int, body: bytes) -> bytes:
    """Return the start of a message between routers."""
    return length.to_bytes(4, "big") + (1).to_bytes(4, "big") + body


def _unfinished_frame() -> Iterator[bytes]:
    return _repeat(
        _encode_frame(BODY_LIMIT_BYTES, b""), b"x", BODY_LIMIT_BYTES - 1
    )


def _unread_replies() -> Iterator[bytes]:
    # The msgpack map {"type": "fetch"}, which asks for the configuration.
    body = b"\x81\xa4type\xa5fetch"
    return _repeat(b"", _encode_frame(len(body), body))


def _dense_frames() -> Iterator[bytes]:
    # The message "borrow_slot" with a list of very many short strings.
    start = b"\x86\xa4type\xabborrow_slot\xa4loan\xa1a\xa7service\xa1a"
    start += b"\xa7version\xc0\xaaduration_s\x01\xa8excluded\xdd"
    strings = (BODY_LIMIT_BYTES - 100) // 3
    body = start + strings.to_bytes(4, "big") + strings * b"\xa2ab"
    return _repeat(b"", _encode_frame(len(body), body))


def _nothing() -> Iterator[bytes]:
    return iter(())


# Crowds by what they make a router hold.
MEMORY_CROWDS = {
    "short_header_lines": Crowd(300, _short_lines),
    "pipelined_short_header_lines": Crowd(15, _pipelined_short_lines),
    "large_heads_again": Crowd(40, _large_head, connections=5),
    "endless_head": Crowd(40, lambda: _repeat(_encode_head(), SHORT_LINE)),
    "endless_header_value": Crowd(
        40, lambda: _repeat(_encode_head() + b"a: ", b"x")
    ),
    "endless_target": Crowd(40, lambda: _repeat(b"GET /", b"x")),
    "endless_trailer": Crowd(
        40,
        lambda: _repeat(_chunked(end=b"1\r\nx\r\n0\r\n"), SHORT_LINE),
    ),
    "unfinished_trailer_values": Crowd(
        1_400, lambda: _repeat(_chunked(end=b"0\r\na:"), b"x", 75_000)
    ),
    "endless_chunk_extension": Crowd(
        40, lambda: _repeat(_chunked(end=b"1;"), b"x")
    ),
    "endless_empty_lines": Crowd(40, lambda: _repeat(b"", b"\r\n")),
    "small_chunks": Crowd(8, _small_chunks),
    "unfinished_bodies": Crowd(60, _unfinished_body),
    "unread_errors": Crowd(30, lambda: _unread_requests(b"/none/")),
    "unread_errors_of_long_targets": Crowd(
        30, lambda: _unread_requests(b"/none/" + 12_000 * b"x")
    ),
    "unread_answers": Crowd(
        30, lambda: _unread_requests(b"/read/", 60_000 * b"x")
    ),
    "unread_large_answers": Crowd(
        60, lambda: _unread_requests(b"/read/", 1_000_000 * b"x")
    ),
    "unread_directory": Crowd(
        30,
        lambda: _unread_gets(b"/-/resolve?name=site.example"),
        "directory",
    ),
    "unread_readiness": Crowd(
        30, lambda: _unread_gets(b"/-/readyz"), "readiness"
    ),
    "unread_metrics": Crowd(30, lambda: _unread_gets(b"/metrics"), "metrics"),
    "short_header_lines_for_metrics": Crowd(300, _short_lines, "metrics"),
    "unfinished_bodies_for_directory": Crowd(60, _unfinished_body, "directory"),
    "unfinished_frames": Crowd(60, _unfinished_frame, "peers"),
    "unread_replies": Crowd(30, _unread_replies, "peers"),
    "dense_frames": Crowd(3, _dense_frames, "peers"),
}
# Crowds of connections that send nothing, by listener.
IDLE_CROWDS = {
    listener: Crowd(800, _nothing, listener)
    for listener in ("callers", "readiness", "directory", "metrics", "peers")
}
# Crowds of several kinds that play at once.
MIXED_CROWDS = (
    Crowd(80, _short_lines),
    Crowd(10, lambda: _repeat(_encode_head(), SHORT_LINE)),
    Crowd(20, _unfinished_body),
    Crowd(10, lambda: _unread_requests(b"/none/")),
    Crowd(5, lambda: _unread_requests(b"/read/", 60_000 * b"x")),
    Crowd(10, lambda: _unread_gets(b"/metrics"), "metrics"),
    Crowd(20, _unfinished_frame, "peers"),
    Crowd(50, _nothing),
)
