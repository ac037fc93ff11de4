"""Loopback proxy that harms the connections that pass through it."""

from __future__ import annotations

import asyncio
import contextlib

CHUNK_BYTES = 65_536


class Proxy:
    """Forward TCP connections to a target, or harm them.

    Attributes:
        address: ``ip:port`` on which it listens.
        mode: ``pass``, ``delay``, ``refuse``, ``silent``, or one direction
            lost: ``lose_requests`` or ``lose_answers``. A connection on which
            bytes were lost stays silent for good, while new ones work once
            the mode is over.
        delay_s: Seconds by which ``delay`` holds each piece.
    """

    def __init__(self, target: str) -> None:
        self.address = ""
        self.mode = "pass"
        self.delay_s = 0.3
        self._host, port = target.rsplit(":", 1)
        self._port = int(port)
        self._server: asyncio.Server | None = None
        self._open: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Bind an address and begin to forward."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    def stop(self) -> None:
        """Stop and reset all connections."""
        if self._server is not None:
            self._server.close()
        self.reset()

    def reset(self) -> None:
        """Reset all connections."""
        for writer in list(self._open):
            writer.transport.abort()

    async def _serve(self, reader, writer) -> None:
        if self.mode == "refuse":
            writer.transport.abort()
            return
        try:
            far_reader, far_writer = await asyncio.open_connection(
                self._host, self._port
            )
        except OSError:
            writer.transport.abort()
            return
        self._open |= {writer, far_writer}
        try:
            await asyncio.wait(
                {
                    asyncio.ensure_future(
                        self._pump(reader, far_writer, "lose_requests")
                    ),
                    asyncio.ensure_future(
                        self._pump(far_reader, writer, "lose_answers")
                    ),
                },
                return_when=asyncio.FIRST_COMPLETED,
            )
        finally:
            for end in (writer, far_writer):
                self._open.discard(end)
                end.transport.abort()

    async def _pump(self, reader, writer, losing_mode: str) -> None:
        lost = False
        with contextlib.suppress(OSError):
            while data := await reader.read(CHUNK_BYTES):
                lost = lost or self.mode in ("silent", losing_mode)
                if lost:
                    continue
                if self.mode == "delay":
                    await asyncio.sleep(self.delay_s)
                writer.write(data)
                await writer.drain()
            # The end of one side is passed on after what was sent before it.
            if not lost:
                writer.write_eof()
