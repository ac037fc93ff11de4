"""Server side of the calls between routers."""

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
    """One connection opened by another router.

    Args:
        handler: Returns the answer to a message, or None to close the
            connection without an answer.
        open_connections: Set that holds this connection while it is open.
        tasks: Runs the handler and logs its exceptions.
    """

    def __init__(
        self,
        handler: Handler,
        open_connections: set[PeerServerConnection],
        tasks: background_tasks.BackgroundTasks,
    ) -> None:
        self._handler = handler
        self._open_connections = open_connections
        self._reader = frame_codec.FrameReader()
        self._transport: asyncio.Transport | None = None
        self._tasks = tasks

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport, over which the answers are sent."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._open_connections.add(self)

    def close(self) -> None:
        """Close the connection; pending answers are dropped."""
        if self._transport is not None:
            self._transport.abort()

    def data_received(self, data: bytes) -> None:
        """Start the handler for each complete message."""
        try:
            messages = self._reader.feed(data)
        except frame_codec.FrameError:
            if self._transport is not None:
                self._transport.abort()
            return
        for call_number, message in messages:
            self._tasks.start_concurrent(
                "answer peer message", self._answer_call(call_number, message)
            )

    def connection_lost(self, exc: Exception | None) -> None:
        """Drop the transport; running handlers are not cancelled."""
        del exc
        self._transport = None
        self._open_connections.discard(self)

    async def _answer_call(
        self, call_number: int, message: peer_messages.Message
    ) -> None:
        reply = await self._handler(message)
        if self._transport is None:
            return
        if reply is None:
            self._transport.abort()
            return
        self._transport.write(frame_codec.encode(call_number, reply))
