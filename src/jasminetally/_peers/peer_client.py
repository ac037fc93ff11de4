"""Client for calls to one other router."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import itertools

from jasminetally import _errors
from jasminetally._peers import frame_codec
from jasminetally._peers import peer_messages
from jasminetally._shared import stall_tolerant

# Routers are at most a few milliseconds apart, and TCP repeats a lost SYN only
# after a second, so waiting longer than this gains nothing.
CONNECT_TIMEOUT_S = 0.4


class PeerClient(asyncio.Protocol):
    """Calls another router over one connection, which is opened when needed.

    Each answer carries the number of its call, so that calls do not wait for
    each other. If a call times out, the connection is closed, since it may be
    broken and would then time out every further call; the next call opens a
    new one.

    Args:
        address: ``ip:port`` of the other router.
        patience: Returns the factor by which to wait longer for a handshake
            than usual.
    """

    def __init__(
        self, address: str, patience: Callable[[], float] = lambda: 1.0
    ) -> None:
        self._address = address
        self._patience = patience
        self._transport: asyncio.Transport | None = None
        self._connect_lock: asyncio.Lock = asyncio.Lock()
        self._reader = frame_codec.FrameReader()
        self._calls: dict[int, asyncio.Future[peer_messages.Message]] = {}
        self._call_numbers = itertools.count(1)

    async def call(
        self, message: peer_messages.Message, *, timeout_s: float
    ) -> peer_messages.Message:
        """Send a message and return its answer.

        Args:
            message: Message to send.
            timeout_s: Time limit in seconds, including that of opening the
                connection.

        Raises:
            PeerUnreachableError: The connection could not be opened or was
                lost, or the answer did not arrive in time.
        """
        try:
            async with asyncio.timeout(timeout_s):
                transport = await self._connect()
                call_number = next(self._call_numbers)
                fut = asyncio.get_running_loop().create_future()
                self._calls[call_number] = fut
                transport.write(frame_codec.encode(call_number, message))
                try:
                    return await fut
                finally:
                    self._calls.pop(call_number, None)
        except (TimeoutError, OSError) as exc:
            self.close()
            raise _errors.PeerUnreachableError(
                f"no answer from the router at {self._address} within "
                f"{timeout_s} s: {exc or 'timed out'}"
            ) from exc

    def close(self) -> None:
        """Close the connection; calls in flight fail."""
        if self._transport is not None:
            self._transport.abort()
            self._transport = None
        self._fail_calls()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and discard data of an earlier connection."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._reader = frame_codec.FrameReader()

    def data_received(self, data: bytes) -> None:
        """Complete the calls whose answers have arrived."""
        try:
            answers = self._reader.feed(data)
        except frame_codec.FrameError:
            self.close()
            return
        for call_number, message in answers:
            fut = self._calls.get(call_number)
            if fut is not None and not fut.done():
                fut.set_result(message)

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the calls in flight."""
        del exc
        self._transport = None
        self._fail_calls()

    async def _connect(self) -> asyncio.Transport:
        """Return the transport of the connection, opening it if necessary."""
        async with self._connect_lock:
            if self._transport is not None:
                return self._transport
            host, port = self._address.rsplit(":", 1)
            loop = asyncio.get_running_loop()
            transport, _ = await stall_tolerant.wait_for(
                loop.create_connection(lambda: self, host, int(port)),
                CONNECT_TIMEOUT_S * self._patience(),
            )
            return transport

    def _fail_calls(self) -> None:
        calls, self._calls = self._calls, {}
        for fut in calls.values():
            if not fut.done():
                fut.set_exception(
                    ConnectionResetError("connection closed before the answer")
                )
