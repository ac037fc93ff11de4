"""Tests of callers that send bytes without end."""

from __future__ import annotations

import asyncio
import contextlib

import pytest

from testing.users_platform import http_messages

# More than the limits of the sample configuration allow, also together.
SENT_BYTES = 4_000_000
PIECE_BYTES = 65_536


@pytest.mark.parametrize(
    ("start", "piece", "status"),
    [
        (b"", b"X-Many: y\r\n", 431),
        (b"\r\n1\r\nx\r\n0\r\n", b"X-Many: y\r\n", 431),
        (b"\r\n1\r\nx\r\n1;", b"ab", 431),
        (b"\r\n", b"1\r\nx\r\n", 413),
    ],
    ids=["headers", "trailer", "chunk_extension", "body"],
)
def test_request_without_end_is_refused(run_with_fleet, start, piece, status):
    """Guards against a caller that fills the memory until a timeout."""

    async def scenario(fleet):
        reader, writer = await fleet.connect()
        head = http_messages.encode_chunked_start("/flip/")
        writer.write(head.removesuffix(b"\r\n") + start)
        response = asyncio.ensure_future(fleet.read_response(reader))
        try:
            with contextlib.suppress(OSError):
                for _ in range(SENT_BYTES // PIECE_BYTES):
                    writer.write(piece * (PIECE_BYTES // len(piece)))
                    await writer.drain()
            async with asyncio.timeout(5):
                assert (await response)[0] == status
        finally:
            response.cancel()
            writer.transport.abort()
        assert all(not server.received_requests for server in fleet.app_servers)

    run_with_fleet(scenario)
