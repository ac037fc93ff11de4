"""Cut of one router from all others, while it reaches the store and clients.

Routers know each other by addresses that they tell each other. All routers
stand at addresses whose last part is 101 and more. The router that is to be cut
off and the others know each other by addresses of proxies, whose last part is
higher by 100; on the way through a proxy, the addresses are replaced.
"""

from __future__ import annotations

import asyncio
import contextlib
import struct

HEADER = struct.Struct("!II")


class FrameProxy:
    """Forwards frames between routers, replacing addresses in them.

    Attributes:
        cut: Whether all bytes are dropped. Connections in which bytes were
            dropped stay silent for good; new ones work once it is over.
    """

    def __init__(
        self,
        address: tuple[str, int],
        target: tuple[str, int],
        to_target: dict[bytes, bytes],
        from_target: dict[bytes, bytes],
    ) -> None:
        self.cut = False
        self._address = address
        self._target = target
        self._to_target = to_target
        self._from_target = from_target
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Start to listen."""
        self._server = await asyncio.start_server(self._serve, *self._address)

    async def stop(self) -> None:
        """Stop listening and reset all connections."""
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()
        await asyncio.sleep(0)

    async def _serve(self, reader, writer) -> None:
        self._writers.add(writer)
        if self.cut:
            # Nothing is answered, whatever comes.
            with contextlib.suppress(OSError):
                while await reader.read(65_536):
                    pass
            writer.transport.abort()
            return
        try:
            target_reader, target_writer = await asyncio.open_connection(
                *self._target
            )
        except OSError:
            writer.transport.abort()
            return
        self._writers.add(target_writer)
        await asyncio.wait(
            {
                asyncio.ensure_future(
                    self._forward(reader, target_writer, self._to_target)
                ),
                asyncio.ensure_future(
                    self._forward(target_reader, writer, self._from_target)
                ),
            },
            return_when=asyncio.FIRST_COMPLETED,
        )
        writer.transport.abort()
        target_writer.transport.abort()
        self._writers -= {writer, target_writer}

    async def _forward(self, reader, writer, changes) -> None:
        silent = False
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                header = await reader.readexactly(HEADER.size)
                length, _ = HEADER.unpack(header)
                body = await reader.readexactly(length)
                silent = silent or self.cut
                if silent:
                    continue
                writer.write(header + replace(body, changes))
                await writer.drain()


def replace(data: bytes, changes: dict[bytes, bytes]) -> bytes:
    """Replace addresses by others of equal length, all at once."""
    marked = {
        new: b"\0" * 4 + b"%03d" % number + b"\0" * (len(new) - 7)
        for number, new in enumerate(changes.values())
    }
    for old, new in changes.items():
        data = data.replace(old, marked[new])
    for new, mark in marked.items():
        data = data.replace(mark, new)
    return data


class Cut:
    """Proxies between one router and all others.

    Args:
        own: Number of the router that can be cut off.
        ips: Addresses of all routers.
        port: Port for messages between routers.
    """

    def __init__(self, own: int, ips: list[str], port: int) -> None:
        real = [f"{ip}:{port}".encode() for ip in ips]
        shown = [f"{shown_ip(ip)}:{port}".encode() for ip in ips]
        # What the router says to the others, and they to it.
        self.outwards = {
            (real if number == own else shown)[number]: (
                shown if number == own else real
            )[number]
            for number in range(len(ips))
        }
        self.inwards = {new: old for old, new in self.outwards.items()}
        # What they see of the entries that all have written in the store.
        self.seen_by_own = {
            real[number]: shown[number]
            for number in range(len(ips))
            if number != own
        }
        self.seen_by_others = {real[own]: shown[own]}
        self._proxies = [
            FrameProxy(
                (shown_ip(ip), port),
                (ip, port),
                self.inwards if number == own else self.outwards,
                self.outwards if number == own else self.inwards,
            )
            for number, ip in enumerate(ips)
        ]

    async def start(self) -> None:
        """Start the proxies."""
        for proxy in self._proxies:
            await proxy.start()

    async def stop(self) -> None:
        """Stop the proxies."""
        for proxy in self._proxies:
            await proxy.stop()

    def set_cut(self, *, cut: bool) -> None:
        """Begin or end the cut."""
        for proxy in self._proxies:
            proxy.cut = cut


def shown_ip(ip: str) -> str:
    """Return the address of a router's proxy."""
    head, _, last = ip.rpartition(".")
    return f"{head}.{int(last) + 100}"
