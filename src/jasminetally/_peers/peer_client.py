"""Calls to one other router."""

from __future__ import annotations

import asyncio
import itertools

from jasminetally import _errors
from jasminetally._peers import frame_codec
from jasminetally._peers import peer_messages

# Routers are at most a few milliseconds apart; a lost opening packet is sent
# again after a second, so waiting longer than this gains nothing.
CONNECT_TIMEOUT_S = 0.4


class PeerClient(asyncio.Protocol):
    """One connection to another router, opened when first used.

    Answers carry the number of their call, so calls do not wait for each
    other. A call without an answer in time closes the connection, since a
    silent connection would stay silent.

    Args:
        address: ``ip:port`` of the other router.
    """

    def __init__(self, address: str) -> None:
        self._address = address
        self._transport: asyncio.Transport | None = None
        self._opening: asyncio.Lock = asyncio.Lock()
        self._reader = frame_codec.FrameReader()
        self._calls: dict[int, asyncio.Future[peer_messages.Message]] = {}
        self._numbers = itertools.count(1)

    async def call(
        self, message: peer_messages.Message, *, timeout_s: float
    ) -> peer_messages.Message:
        """Send a message and return its answer.

        Raises:
            PeerUnreachableError: There was no answer in time.
        """
        try:
            async with asyncio.timeout(timeout_s):
                transport = await self._open()
                number = next(self._numbers)
                fut = asyncio.get_running_loop().create_future()
                self._calls[number] = fut
                transport.write(frame_codec.encode(number, message))
                try:
                    return await fut
                finally:
                    self._calls.pop(number, None)
        except (TimeoutError, OSError) as exc:
            self.close()
            raise _errors.PeerUnreachableError(
                f"router {self._address}: {exc or 'no answer in time'}"
            ) from exc

    def close(self) -> None:
        """Close the connection; calls under way fail."""
        if self._transport is not None:
            self._transport.abort()
            self._transport = None
        self._fail_calls()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start with an empty buffer."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._reader = frame_codec.FrameReader()

    def data_received(self, data: bytes) -> None:
        """Hand answers to their calls."""
        try:
            answers = self._reader.feed(data)
        except frame_codec.FrameError:
            self.close()
            return
        for number, message in answers:
            fut = self._calls.get(number)
            if fut is not None and not fut.done():
                fut.set_result(message)

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the calls under way."""
        del exc
        self._transport = None
        self._fail_calls()

    async def _open(self) -> asyncio.Transport:
        async with self._opening:
            if self._transport is not None:
                return self._transport
            host, port = self._address.rsplit(":", 1)
            loop = asyncio.get_running_loop()
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                transport, _ = await loop.create_connection(
                    lambda: self, host, int(port)
                )
            return transport

    def _fail_calls(self) -> None:
        calls, self._calls = self._calls, {}
        for fut in calls.values():
            if not fut.done():
                fut.set_exception(ConnectionResetError("connection lost"))
