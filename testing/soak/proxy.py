"""Loopback TCP proxy that injects faults into the connections through it."""

from __future__ import annotations

import asyncio
import contextlib
import socket

CHUNK_BYTES = 65_536


class Proxy:
    """Forwards TCP connections to a target address and injects faults.

    Args:
        target: ``ip:port`` to forward to.
        port: Port to listen on; 0 for any free one.

    Attributes:
        address: ``ip:port`` on which the proxy listens.
        mode: ``pass``: forward unchanged. ``delay``: hold each chunk for
            ``delay_s``. ``refuse``: reset new connections. ``silent``: drop
            all bytes. ``lose_requests``, ``lose_answers``: drop the bytes of
            one direction. Once bytes have been dropped, that direction of the
            connection stays silent for good, as the stream would have a gap;
            new connections work as soon as the mode is over. ``hold``: keep
            all bytes until ``heal``; a reset drops those of its connection.
        delay_s: Delay of each chunk in the mode ``delay``, in seconds.
        rewrites: Bytes from the target to replace, by others of equal length.
    """

    def __init__(self, target: str, *, port: int = 0) -> None:
        self.address = f"127.0.0.1:{port}"
        self.rewrites: dict[bytes, bytes] = {}
        self.mode = "pass"
        self.delay_s = 0.3
        self._target_host, port = target.rsplit(":", 1)
        self._target_port = int(port)
        self._silenced_connections = 0
        self._accepted_connections = 0
        self._server: asyncio.Server | None = None
        self._open_writers: set[asyncio.StreamWriter] = set()
        self._blocking_sockets: list[socket.socket] = []
        self._listening = False
        self._healed = asyncio.Event()
        self._held_writes: set[asyncio.Task] = set()

    async def start(self) -> None:
        """Bind the port, and start to forward connections."""
        self._listening = True
        host, port = self.address.split(":")
        self._server = await asyncio.start_server(
            self._serve_connection, host, int(port)
        )
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    def stop(self) -> None:
        """Stop listening and reset all connections."""
        if self._server is not None:
            self._server.close()
        self._close_blocking_sockets()
        self.reset_connections()

    def refuse_connections(self) -> None:
        """Refuse new connections; open ones are still served."""
        self._listening = False
        self._server.close()

    async def partition(self, mode: str = "silent") -> None:
        """Leave new connections without an answer.

        Args:
            mode: ``silent`` or ``hold``, for the bytes of open connections.
        """
        self.mode = mode
        self._healed.clear()
        if self._blocking_sockets:
            return
        self.refuse_connections()
        # The system drops the handshakes that a full queue has no room for.
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        host, port = self.address.split(":")
        listener.bind((host, int(port)))
        listener.listen(0)
        self._blocking_sockets = [listener]
        for _ in range(2):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex((host, int(port)))
            self._blocking_sockets.append(filler)

    async def heal(self) -> None:
        """Forward new connections again; silent ones stay silent."""
        self._close_blocking_sockets()
        self.mode = "pass"
        self._healed.set()
        if not self._listening:
            await self.start()

    def _close_blocking_sockets(self) -> None:
        for sock in self._blocking_sockets:
            sock.close()
        self._blocking_sockets = []

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
        held_back = b""
        held: asyncio.Task | None = None
        rewrites = self.rewrites if losing_mode == "lose_answers" else {}
        with contextlib.suppress(OSError):
            while data := await reader.read(CHUNK_BYTES):
                lost = lost or self.mode in ("silent", losing_mode)
                if lost or number <= self._silenced_connections:
                    continue
                if self.mode == "delay":
                    await asyncio.sleep(self.delay_s)
                if self.mode == "hold":
                    held = asyncio.ensure_future(
                        self._write_when_healed(writer, data, held)
                    )
                    self._held_writes.add(held)
                    held.add_done_callback(self._held_writes.discard)
                    continue
                if held is not None:
                    await held
                data, held_back = _rewrite(held_back + data, rewrites)
                writer.write(data)
                await writer.drain()
            if self.mode == "hold":
                await self._healed.wait()
            if held is not None:
                await held
            # Pass the end of the stream on after the data before it, but not
            # where bytes were dropped.
            if not lost and number > self._silenced_connections:
                writer.write_eof()

    async def _write_when_healed(
        self, writer, data: bytes, previous: asyncio.Task | None
    ) -> None:
        await self._healed.wait()
        if previous is not None:
            await previous
        if not writer.is_closing():
            writer.write(data)


def _rewrite(data: bytes, rewrites: dict[bytes, bytes]) -> tuple[bytes, bytes]:
    """Return the bytes after replacements, and an end that may begin one."""
    for old, new in rewrites.items():
        data = data.replace(old, new)
    longest = max((len(old) for old in rewrites), default=1)
    for length in range(min(len(data), longest - 1), 0, -1):
        if any(old.startswith(data[-length:]) for old in rewrites):
            return data[:-length], data[-length:]
    return data, b""
