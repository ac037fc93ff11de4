"""Replies of HTTP servers that are cut at each of their bytes."""

from __future__ import annotations

from collections.abc import Callable
import itertools
from typing import NamedTuple

import pytest

from testing.shared import scripted_server

FRAMINGS = ("length", "chunks", "padded_chunks", "trailer")
INTERIM = (
    b"HTTP/1.1 100 Continue\r\n\r\n"
    b"HTTP/1.1 102 Processing\r\n\r\n"
    b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
)
ALL_CUTS = [
    pytest.param(reset, kept, id="-".join(ids))
    for (reset, kept), ids in (
        ((reset, kept), (("fin", "reset")[reset], ("new", "kept")[kept]))
        for reset, kept in itertools.product((False, True), repeat=2)
    )
]


class Reply(NamedTuple):
    """Content of a reply.

    Attributes:
        status: Status code.
        body: Body, sent in two pieces if it comes in chunks.
        headers: Lines of the head besides those of the framing.
    """

    status: int
    body: bytes
    headers: tuple[str, ...] = ()

    def encode(self, framing: str) -> bytes:
        """Return the bytes of the reply in one of ``FRAMINGS``, or "none"."""
        lines = [f"HTTP/1.1 {self.status} X", *self.headers]
        middle = len(self.body) // 2
        pieces = [self.body[:middle], self.body[middle:]]
        size = b"%x\r\n"
        end = b"0\r\n\r\n"
        match framing:
            case "none":
                return _encode_head(lines) + self.body
            case "length":
                lines.append(f"Content-Length: {len(self.body)}")
                return _encode_head(lines) + self.body
            case "padded_chunks":
                size, end = b"%08x;a=b\r\n", b"0000\r\n\r\n"
            case "trailer":
                end = b"0\r\nChecksum: 1\r\nLast: 2\r\n\r\n"
        lines.append("Transfer-Encoding: chunked")
        chunks = [size % len(piece) + piece + b"\r\n" for piece in pieces]
        return _encode_head(lines) + b"".join(chunks) + end


def cuts_taken_for_whole(
    server: scripted_server.ScriptedServer,
    call: Callable[[], bool],
    data: bytes,
    *,
    whole: bytes,
    reset: bool,
    kept: bool,
) -> list[int]:
    """Cut a reply before each of its bytes; return the offsets not noticed.

    Args:
        server: Server that ``call`` sends its request to.
        call: Sends a request; returns whether it took the reply as whole.
        data: Reply to cut.
        whole: Reply to a request before, on the same connection, if ``kept``.
        reset: Whether the server resets the connection, instead of closing it.
        kept: Whether the reply comes on a used connection.
    """
    server.ends_with_reset = reset
    missed = []
    for offset in range(len(data)):
        server.replies = [whole, data[:offset]] if kept else [data[:offset]]
        if kept:
            assert call()
        if call():
            missed.append(offset)
    server.ends_with_reset = False
    server.replies = [data]
    assert call(), "the whole reply was not accepted"
    server.wait_until_closed()
    return missed


def _encode_head(lines: list[str]) -> bytes:
    return "\r\n".join(lines).encode() + b"\r\n\r\n"
