"""Loopback TCP proxy that injects faults into the connections through it."""

from __future__ import annotations

import asyncio
import contextlib

CHUNK_BYTES = 65_536


class Proxy:
    """Forwards TCP connections to a target address and injects faults.

    Attributes:
        address: ``ip:port`` on which the proxy listens.
        mode: ``pass``: forward unchanged. ``delay``: hold each chunk for
            ``delay_s``. ``refuse``: reset new connections. ``silent``: drop
            all bytes. ``lose_requests``, ``lose_answers``: drop the bytes of
            one direction. Once bytes have been dropped, that direction of the
            connection stays silent for good, as the stream would have a gap;
            new connections work as soon as the mode is over.
        delay_s: Delay of each chunk in the mode ``delay``, in seconds.
    """

    def __init__(self, target: str) -> None:
        self.address = ""
        self.mode = "pass"
        self.delay_s = 0.3
        self._target_host, port = target.rsplit(":", 1)
        self._target_port = int(port)
        self._silenced_connections = 0
        self._accepted_connections = 0
        self._server: asyncio.Server | None = None
        self._open_writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Bind a free port and start to forward connections."""
        self._server = await asyncio.start_server(
            self._serve_connection, "127.0.0.1", 0
        )
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    def stop(self) -> None:
        """Stop listening and reset all connections."""
        if self._server is not None:
            self._server.close()
        self.reset_connections()

    def silence_connections(self) -> None:
        """Drop all bytes of the open connections, which stay open, for good.

        New connections work.
        """
        self._silenced_connections = self._accepted_connections

    def reset_connections(self) -> None:
        """Reset all open connections."""
        for writer in list(self._open_writers):
            writer.transport.abort()

    async def _serve_connection(self, reader, writer) -> None:
        if self.mode == "refuse":
            writer.transport.abort()
            return
        try:
            target_reader, target_writer = await asyncio.open_connection(
                self._target_host, self._target_port
            )
        except OSError:
            writer.transport.abort()
            return
        self._open_writers |= {writer, target_writer}
        self._accepted_connections += 1
        number = self._accepted_connections
        try:
            await asyncio.wait(
                {
                    asyncio.ensure_future(
                        self._forward_bytes(
                            reader, target_writer, "lose_requests", number
                        )
                    ),
                    asyncio.ensure_future(
                        self._forward_bytes(
                            target_reader, writer, "lose_answers", number
                        )
                    ),
                },
                return_when=asyncio.FIRST_COMPLETED,
            )
        finally:
            for open_writer in (writer, target_writer):
                self._open_writers.discard(open_writer)
                open_writer.transport.abort()

    async def _forward_bytes(
        self, reader, writer, losing_mode: str, number: int
    ) -> None:
        """Forward one direction of a connection until its end.

        Args:
            reader: Stream to read from.
            writer: Stream to write to.
            losing_mode: Mode in which the bytes of this direction are dropped.
            number: Number of the connection.
        """
        lost = False
        with contextlib.suppress(OSError):
            while data := await reader.read(CHUNK_BYTES):
                lost = lost or self.mode in ("silent", losing_mode)
                if lost or number <= self._silenced_connections:
                    continue
                if self.mode == "delay":
                    await asyncio.sleep(self.delay_s)
                writer.write(data)
                await writer.drain()
            # Pass the end of the stream on after the data before it, but not
            # where bytes were dropped.
            if not lost and number > self._silenced_connections:
                writer.write_eof()
