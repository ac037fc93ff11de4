"""Server side of the calls between routers."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import time

from jasminetally._overload import connection_limiter
from jasminetally._overload import held_memory
from jasminetally._overload import listener_guard
from jasminetally._overload import object_costs
from jasminetally._peers import frame_codec
from jasminetally._peers import peer_messages
from jasminetally._shared import background_tasks

# Number of calls of one connection that are answered at a time. The next ones
# wait, and reading pauses.
CONCURRENT_CALLS_LIMIT = 64
# Time limit from the first byte of a message to its end.
MESSAGE_TIMEOUT_S = 15.0
# Time without any reading by the other side after which answers are dropped.
UNREAD_TIMEOUT_S = 15.0

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
        guard: Bounds what the connections of the listener hold, if given.
    """

    def __init__(
        self,
        handler: Handler,
        open_connections: set[PeerServerConnection],
        tasks: background_tasks.BackgroundTasks,
        guard: listener_guard.ListenerGuard | None = None,
    ) -> None:
        self._handler = handler
        self._open_connections = open_connections
        self._reader = frame_codec.FrameReader()
        self._transport: asyncio.Transport | None = None
        self._tasks = tasks
        self._guard = guard or listener_guard.unlimited()
        self._held = held_memory.HeldMemory(self._guard.memory, self)
        self._calls_bytes = 0
        self._calls = 0
        self._was_used = False
        self._writable = True
        self._paused = False
        # Monotonic times in seconds since which the other side is awaited: to
        # send anything, to end a message, and to read answers.
        self._idle_since_s = 0.0
        self._message_since_s: float | None = None
        self._unread_since_s: float | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport, over which the answers are sent."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._idle_since_s = time.monotonic()
        self._open_connections.add(self)
        self._held.open()
        self._guard.connections.on_made(self)
        self._enforce_memory_limit()

    def close(self) -> None:
        """Close the connection; pending answers are dropped."""
        if self._transport is not None:
            self._transport.abort()

    def data_received(self, data: bytes) -> None:
        """Start the handler for each complete message."""
        self._idle_since_s = time.monotonic()
        self._reader.append(data)
        self._read_on()

    def pause_writing(self) -> None:
        """Start no more handlers, since the answers are not read."""
        self._writable = False
        self._unread_since_s = time.monotonic()

    def resume_writing(self) -> None:
        """Go on because the write buffer has room again."""
        self._writable = True
        self._unread_since_s = None
        self._read_on()

    def connection_lost(self, exc: Exception | None) -> None:
        """Drop the transport; running handlers are not cancelled."""
        del exc
        self._transport = None
        self._open_connections.discard(self)
        self._guard.connections.on_closed(self)
        self._reader.clear()
        self._held.close()

    def idle_state(self) -> connection_limiter.IdleState | None:
        """Return since when the other side is awaited; None if it is not."""
        if (
            self._calls
            or self._transport is None
            or self._transport.is_closing()
        ):
            return None
        return connection_limiter.IdleState(self._was_used, self._idle_since_s)

    def close_for_others(self) -> None:
        """Close the connection at once, since others need its descriptor."""
        self._refuse("connections_full")

    def update_held_memory(self) -> None:
        """Set what the connection holds at present."""
        if self._transport is None:
            return
        self._held.set_handled(self._calls_bytes)
        self._held.set_releasable(
            object_costs.CONNECTION_BYTES
            + self._reader.buffered_bytes
            + self._transport.get_write_buffer_size()
        )

    def release_memory(self) -> None:
        """Close the connection, which drops what it holds."""
        self._refuse("memory_full")

    def enforce_timeouts(self, now_s: float) -> None:
        """Close the connection if the other side is too slow.

        Messages that wait for memory are handled once there is room.

        Args:
            now_s: Monotonic time in seconds.
        """
        self.update_held_memory()
        if self._paused:
            self._read_on()
        message_s, unread_s = self._message_since_s, self._unread_since_s
        if unread_s is not None and now_s - unread_s > UNREAD_TIMEOUT_S:
            self._refuse("answers_unread")
        elif message_s is not None and now_s - message_s > MESSAGE_TIMEOUT_S:
            self._refuse("message_too_slow")

    def _read_on(self) -> None:
        """Start handlers for complete messages, unless calls have to wait."""
        try:
            has_to_wait = self._handle_messages()
        except frame_codec.FrameError:
            self._refuse("malformed_message")
            return
        self._update_reading(has_to_wait=has_to_wait)
        self._enforce_memory_limit()

    def _handle_messages(self) -> bool:
        """Start handlers; return whether a complete message has to wait.

        Raises:
            FrameError: A frame is too long or does not hold a message.
        """
        memory = self._guard.memory
        while not self._is_closed():
            length = self._reader.next_length()
            if length is None:
                return False
            if not self._writable or self._calls >= CONCURRENT_CALLS_LIMIT:
                return True
            # Decoding makes the objects before they can be counted.
            size = length * object_costs.MESSAGE_EXPANSION
            if not memory.may_ever_fit(size):
                self._refuse("message_too_large")
            elif not memory.has_room(size):
                return True
            else:
                self._enforce_memory_limit(size)
                if not self._is_closed():
                    self._start_call(*self._reader.pop_message(), size)
        return False

    def _start_call(
        self, call_number: int, message: peer_messages.Message, size: int
    ) -> None:
        size += object_costs.REQUEST_BYTES
        self._was_used = True
        self._calls += 1
        self._calls_bytes += size
        self.update_held_memory()
        self._tasks.start_concurrent(
            "answer peer message", self._answer_call(call_number, message, size)
        )

    def _update_reading(self, *, has_to_wait: bool) -> None:
        """Pause reading while a message waits, and note one that arrives."""
        if self._transport is None or self._transport.is_closing():
            return
        self._paused = has_to_wait
        if has_to_wait:
            self._transport.pause_reading()
        else:
            self._transport.resume_reading()
        if has_to_wait or not self._reader.buffered_bytes:
            self._message_since_s = None
        elif self._message_since_s is None:
            self._message_since_s = time.monotonic()

    def _enforce_memory_limit(self, extra: int = 0) -> None:
        self.update_held_memory()
        self._guard.memory.enforce_limit(extra)

    def _is_closed(self) -> bool:
        return self._transport is None or self._transport.is_closing()

    def _refuse(self, reason: str) -> None:
        """Close the connection at once and count it as refused."""
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        peer = transport.get_extra_info("peername")
        self._guard.count_refusal(
            reason, peer[0] if peer else "", self._held.total_bytes
        )
        self._reader.clear()
        transport.abort()
        self._held.set_releasable(0)

    async def _answer_call(
        self, call_number: int, message: peer_messages.Message, size: int
    ) -> None:
        try:
            reply = await self._handler(message)
        finally:
            self._calls -= 1
            self._calls_bytes -= size
        if self._transport is None:
            return
        if reply is None:
            self._transport.abort()
            return
        self._transport.write(frame_codec.encode(call_number, reply))
        self._read_on()
