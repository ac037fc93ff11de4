"""Server for calls of other routers."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

from jasminetally._peers import frame_codec
from jasminetally._peers import peer_messages
from jasminetally._shared import background_tasks

Handler = Callable[
    [peer_messages.Message], Awaitable[peer_messages.Message | None]
]


class PeerServerConnection(asyncio.Protocol):
    """One connection of another router.

    Args:
        handler: Returns the answer to a message, or None to close the
            connection without one.
        open_connections: Set that the connection is part of while open.
        tasks: Runs the handler and logs its faults.
    """

    def __init__(
        self,
        handler: Handler,
        open_connections: set[PeerServerConnection],
        tasks: background_tasks.BackgroundTasks,
    ) -> None:
        self._handler = handler
        self._open = open_connections
        self._reader = frame_codec.FrameReader()
        self._transport: asyncio.Transport | None = None
        self._tasks = tasks

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport for answers."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._open.add(self)

    def close(self) -> None:
        """Close the connection; answers under way are dropped."""
        if self._transport is not None:
            self._transport.abort()

    def data_received(self, data: bytes) -> None:
        """Start to handle each complete message."""
        try:
            messages = self._reader.feed(data)
        except frame_codec.FrameError:
            if self._transport is not None:
                self._transport.abort()
            return
        for number, message in messages:
            self._tasks.start_concurrent(
                "answer a router", self._answer(number, message)
            )

    def connection_lost(self, exc: Exception | None) -> None:
        """Forget the transport; messages under way are still applied."""
        del exc
        self._transport = None
        self._open.discard(self)

    async def _answer(
        self, number: int, message: peer_messages.Message
    ) -> None:
        reply = await self._handler(message)
        if self._transport is None:
            return
        if reply is None:
            self._transport.abort()
            return
        self._transport.write(frame_codec.encode(number, reply))
