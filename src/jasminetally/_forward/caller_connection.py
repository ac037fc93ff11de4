"""HTTP/1 server connection of a caller."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from http import client as http_client
import random
import time

from jasminetally import _errors
from jasminetally._deployment import caller_limits
from jasminetally._forward import caller_errors
from jasminetally._forward import caller_request
from jasminetally._forward import request_intake
from jasminetally._forward import socket_options
from jasminetally._http import error_reply
from jasminetally._links import receive_meter
from jasminetally._overload import connection_limiter
from jasminetally._overload import held_memory
from jasminetally._overload import listener_guard
from jasminetally._overload import object_costs

# Delay between an error response and closing a connection with unread input.
# Closing it at once would reset it, and the caller might not get the response.
LINGERING_CLOSE_S = 0.5
# Time limit from the first byte of a request to the end of its body. The
# deadline that the request names applies only once it has arrived.
BODY_TIMEOUT_S = 15.0
# Retry-After times of requests that are refused for want of memory. They are
# spread so that the callers do not come back at once.
MIN_MEMORY_RETRY_AFTER_S = 0.5
MAX_MEMORY_RETRY_AFTER_S = 1.5

# Statuses of responses that have no body.
BODILESS_STATUSES = (204, 304)

RequestHandler = Callable[
    ["CallerConnection", caller_request.CallerRequest], Awaitable[None]
]


class CallerConnection(asyncio.Protocol):
    """Reads the requests of a caller and writes the responses, one at a time.

    The handler is called with complete requests only, so a malformed one never
    reaches a backend server. The handler's task is cancelled when the caller
    closes the connection. Nothing is read or handled for a caller that does not
    read its responses.

    Args:
        handler: Coroutine function that writes the response to a request.
        limits: Returns the limits on callers' requests that are in force.
        open_connections: Set that contains the connection while it is open.
        count_sent: Called with each number of bytes that are sent, if given.
        meter: Counts what callers send, if given.
        guard: Bounds what the connections of the listener hold, if given.

    Attributes:
        count_answer: Returns the bytes of the answer in flight that wait to be
            written; None if they are not counted.
    """

    def __init__(
        self,
        handler: RequestHandler,
        limits: Callable[[], caller_limits.CallerLimits],
        open_connections: set[CallerConnection],
        count_sent: Callable[[int], None] | None = None,
        meter: receive_meter.ReceiveMeter | None = None,
        guard: listener_guard.ListenerGuard | None = None,
    ) -> None:
        self.count_answer: Callable[[], int] | None = None
        self._meter = meter
        self._handler = handler
        self._limits = limits
        self._open_connections = open_connections
        self._count_sent = count_sent
        self._guard = guard or listener_guard.unlimited()
        self._held = held_memory.HeldMemory(self._guard.memory, self)
        self._transport: asyncio.Transport | None = None
        self._intake = request_intake.RequestIntake(limits, self._send_continue)
        self._parsing = False
        self._request_bytes = 0
        self._handler_task: asyncio.Task | None = None
        self._was_used = False
        self._writable = asyncio.Event()
        self._writable.set()
        self._rejected = False
        self._chunked = False
        # Whether to close once all requests that were received are answered,
        # and whether the response in flight says that it is the last one.
        self._close_requested = False
        self._close_after_response = False
        self._closing = False
        self._ended = False
        self._close_delimited = False
        self._idle_since_s = 0.0
        # Size of the write buffer at the last check, and since when.
        self._unread_bytes = 0
        self._unread_since_s = 0.0
        self._http_1_0 = False

    @property
    def busy(self) -> bool:
        """Whether a request is being handled, waits or has begun to arrive."""
        return (
            self._handler_task is not None
            or self._more_to_answer
            or self._rejected
        )

    @property
    def memory_short(self) -> bool:
        """Whether connections hold nearly all the memory that they may."""
        return self._guard.memory.short

    @property
    def _more_to_answer(self) -> bool:
        """Whether a request waits behind the one in flight, or arrives."""
        return (
            bool(self._intake.queue)
            or self._intake.has_unparsed
            or (self._intake.message_start_s is not None and not self._rejected)
        )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set up a new connection; called by the event loop."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        socket_options.enable_keepalive(transport)
        self._idle_since_s = time.monotonic()
        self._open_connections.add(self)
        self._held.open()
        self._guard.connections.on_made(self)
        self.update_held_memory()
        self._guard.memory.enforce_limit()

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the request in flight; called by the event loop."""
        del exc
        self._open_connections.discard(self)
        self._guard.connections.on_closed(self)
        self._transport = None
        self._intake.drop_unfinished()
        self._held.close()
        self._writable.set()
        if self._handler_task is not None:
            self._handler_task.cancel()

    def pause_writing(self) -> None:
        """Make ``drain`` wait because the write buffer is full."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """Go on because the write buffer has room again."""
        self._writable.set()
        self._handle_next_request()
        self._read_on()

    async def drain(self) -> None:
        """Wait until the write buffer has room."""
        await self._writable.wait()

    def data_received(self, data: bytes) -> None:
        """Parse received bytes and handle complete requests."""
        if self._meter is not None:
            self._meter.count_received(len(data), time.monotonic())
        if self._rejected:
            return
        self._intake.add(data)
        self._read_on()

    def idle_state(self) -> connection_limiter.IdleState | None:
        """Return since when the caller is awaited; None if it has a request."""
        if (
            self._handler_task is not None
            or self._intake.queue
            or self._transport is None
            or self._transport.is_closing()
        ):
            return None
        return connection_limiter.IdleState(
            self._was_used,
            self._intake.message_start_s or self._idle_since_s,
        )

    def close_for_others(self) -> None:
        """Close the connection at once, since others need its descriptor."""
        self._end_connection("connections_full")

    def update_held_memory(self) -> None:
        """Set what the connection holds at present."""
        if self._transport is None or self._ended:
            return
        releasable = (
            object_costs.CONNECTION_BYTES
            + self._intake.held_bytes
            + self._transport.get_write_buffer_size()
        )
        answer = self.count_answer() if self.count_answer is not None else 0
        if self._writable.is_set():
            self._held.set_handled(self._request_bytes + answer)
        else:
            releasable += answer
            self._held.set_handled(self._request_bytes)
        self._held.set_releasable(releasable)

    def release_memory(self) -> None:
        """Refuse what has not been handled, or end if nothing is read."""
        if self._transport is None:
            return
        input_bytes = self._intake.held_bytes
        unread_bytes = (
            self._held.releasable_bytes
            - input_bytes
            - object_costs.CONNECTION_BYTES
        )
        if unread_bytes > input_bytes:
            self._end_connection("answers_unread")
        elif self._more_to_answer:
            self._refuse_for_memory()
            self.update_held_memory()

    def _read_on(self) -> None:
        """Parse what was received, unless the caller has to wait.

        Reading pauses only while received bytes wait, so that the end of an
        idle connection is noticed.
        """
        if self._parsing:
            return
        self._parsing = True
        try:
            while (
                self._intake.may_parse
                and self._writable.is_set()
                and not self._rejected
            ):
                self._parse_piece()
        finally:
            self._parsing = False
        if self._transport is None or self._transport.is_closing():
            return
        if self._intake.has_unparsed:
            self._transport.pause_reading()
        else:
            self._transport.resume_reading()

    def _parse_piece(self) -> None:
        """Parse a piece of what was received, and enforce the limits."""
        self._intake.parse_piece()
        if self._intake.rejection is not None:
            self._reject_request(*self._intake.rejection)
        self._handle_next_request()
        self.update_held_memory()
        self._guard.memory.enforce_limit()

    def _send_continue(self) -> None:
        """Ask for the body that a caller keeps back until then."""
        self._write_bytes(b"HTTP/1.1 100 Continue\r\n\r\n")

    def write_head(
        self,
        status: int,
        headers: list[caller_request.Header],
        *,
        length: int | None,
    ) -> None:
        """Write the head of a response.

        Args:
            status: HTTP status code.
            headers: Headers other than Connection and those that state the
                length of the body.
            length: Length of the body in bytes; None if it is not known.
        """
        reason = http_client.responses.get(status, "")
        lines = [f"HTTP/1.1 {status} {reason}".encode()]
        lines += [name + b": " + value for name, value in headers]
        bodiless = status in BODILESS_STATUSES
        if self._close_requested and not self._more_to_answer:
            self._close_after_response = True
        self._chunked = length is None and not self._http_1_0 and not bodiless
        if bodiless:
            pass
        elif length is not None:
            lines.append(b"Content-Length: %d" % length)
        elif self._chunked:
            lines.append(b"Transfer-Encoding: chunked")
        else:
            self._close_delimited = True
            self._close_after_response = True
        if self._close_after_response:
            lines.append(b"Connection: close")
        self._write_bytes(b"\r\n".join(lines) + b"\r\n\r\n")

    def write_body(self, data: bytes) -> None:
        """Write a part of the body of a response."""
        if not data:
            return
        if self._chunked:
            data = b"%x\r\n%b\r\n" % (len(data), data)
        if self._close_delimited and self._transport is not None:
            # Also where the process is killed in the middle of the body.
            socket_options.reset_on_close(self._transport)
        self._write_bytes(data)

    def finish_response(self) -> None:
        """Write the end of a response."""
        if self._chunked:
            self._write_bytes(b"0\r\n\r\n")
            self._chunked = False
        if self._close_delimited and self._transport is not None:
            socket_options.end_on_close(self._transport)

    def abort(self) -> None:
        """Close the connection so that the caller sees an incomplete response.

        Data already written is still sent, unless the response ends with the
        connection: then only a reset shows that it is incomplete.
        """
        self._closing = True
        if self._transport is None:
            return
        if self._close_delimited:
            socket_options.reset_on_close(self._transport)
            self._transport.abort()
        else:
            self._transport.close()

    def send_error(
        self, exc: _errors.CallerError, headers: list[caller_request.Header]
    ) -> None:
        """Write an error response.

        Args:
            exc: The error.
            headers: Further headers.
        """
        body = error_reply.encode_body(exc)
        headers = [(b"Content-Type", b"application/json"), *headers]
        if exc.retry_after_s is not None:
            headers.append((b"Retry-After", b"%.3f" % exc.retry_after_s))
        self.write_head(exc.status, headers, length=len(body))
        self._write_bytes(body)

    def close_when_answered(self) -> None:
        """Close the connection after the response to the request in flight.

        Requests that the caller has sent behind it are answered as well.
        """
        self._close_requested = True

    def close_if_idle(self) -> None:
        """Close the connection unless a request is in flight or arriving."""
        if not self.busy and self._transport is not None:
            self._closing = True
            self._transport.close()

    def enforce_timeouts(self, now_s: float) -> None:
        """Close the connection if the caller was idle or too slow for too long.

        Args:
            now_s: Monotonic time in seconds.
        """
        self.update_held_memory()
        limits = self._limits()
        if self._is_unread_for(limits.idle_timeout_s, now_s):
            self._end_connection("answers_unread")
            return
        if self._rejected or self._handler_task is not None:
            return
        start_s = self._intake.message_start_s
        if start_s is None:
            if now_s - self._idle_since_s > limits.idle_timeout_s:
                self.close_if_idle()
            return
        waited_s = now_s - start_s
        if not self._intake.head_complete:
            if waited_s > limits.header_timeout_s:
                self._reject_request(408, "head_too_slow")
        elif waited_s > BODY_TIMEOUT_S:
            self._reject_request(408, "body_too_slow")

    def _is_unread_for(self, duration_s: float, now_s: float) -> bool:
        """Return whether the caller has read nothing for a time.

        Args:
            duration_s: Duration in seconds.
            now_s: Monotonic time in seconds.
        """
        unread_bytes = (
            self._transport.get_write_buffer_size() if self._transport else 0
        )
        if not unread_bytes or unread_bytes != self._unread_bytes:
            self._unread_bytes = unread_bytes
            self._unread_since_s = now_s
        return now_s - self._unread_since_s > duration_s

    def _handle_next_request(self) -> None:
        if (
            self._handler_task is not None
            or not self._intake.queue
            or self._closing
            or not self._writable.is_set()
        ):
            return
        queued = self._intake.pop()
        if not self._guard.memory.has_room(queued.handled_size):
            self._refuse_for_memory()
            return
        request = queued.request
        self._request_bytes = queued.handled_size
        self._http_1_0 = request.http_1_0
        if not request.keep_alive:
            self._close_after_response = True
        self._was_used = True
        self._handler_task = asyncio.ensure_future(self._handler(self, request))
        self._handler_task.add_done_callback(self._on_handler_done)
        self.update_held_memory()
        self._read_on()

    def _on_handler_done(self, task: asyncio.Task) -> None:
        self._handler_task = None
        self._request_bytes = 0
        self.count_answer = None
        self._idle_since_s = time.monotonic()
        if not task.cancelled() and task.exception() is not None:
            self.abort()
            task.get_loop().call_exception_handler(
                {
                    "message": "unhandled exception in a request handler",
                    "exception": task.exception(),
                }
            )
        if self._transport is None:
            return
        self.update_held_memory()
        if (
            self._close_after_response
            or self._closing
            or (self._rejected and not self._intake.queue)
        ):
            self._closing = True
            self._transport.close()
            return
        self._handle_next_request()

    def _refuse_for_memory(self) -> None:
        """Refuse all requests that wait or arrive, which have not run.

        The first gets an error, unless another one is being handled: then the
        connection ends behind its response.
        """
        self._intake.drop_queue()
        self._stop_reading("memory_full")
        if self._handler_task is None:
            retry_after_s = random.uniform(
                MIN_MEMORY_RETRY_AFTER_S, MAX_MEMORY_RETRY_AFTER_S
            )
            self._send_last_error(
                caller_errors.not_run_error("memory_full", retry_after_s)
            )

    def _reject_request(self, status: int, code: str) -> None:
        """Write an error for a request that can't be read, and close.

        The requests before it are answered before.

        Args:
            status: HTTP status code.
            code: Error code.
        """
        if self._rejected:
            return
        self._stop_reading(code)
        self._handle_next_request()
        if self._handler_task is None and not self._intake.queue:
            self._send_last_error(
                _errors.CallerError(
                    "the request could not be read and did not run: " + code,
                    status=status,
                    code=code,
                )
            )

    def _stop_reading(self, reason: str) -> None:
        """Drop what arrives from now on, and close when all is answered."""
        self._count_refusal(reason)
        self._rejected = True
        self._close_requested = True
        self._intake.drop_unfinished()
        if self._transport is not None:
            self._transport.resume_reading()

    def _send_last_error(self, exc: _errors.CallerError) -> None:
        """Write an error as the last response, and close the connection."""
        if self._closing or self._transport is None:
            return
        self._closing = True
        self._http_1_0 = False
        self.send_error(exc, [])
        asyncio.get_running_loop().call_later(
            LINGERING_CLOSE_S, self._close_transport
        )

    def _end_connection(self, reason: str) -> None:
        """Close the connection at once, and drop what it holds.

        Responses that were not written completely must not look complete, even
        where the end of the connection ends them.
        """
        if self._transport is None or self._ended:
            return
        self._count_refusal(reason)
        self._closing = self._ended = True
        self._intake.drop_unfinished()
        self._intake.drop_queue()
        if self._transport.get_write_buffer_size():
            socket_options.reset_on_close(self._transport)
        self._transport.abort()
        self._held.set_releasable(0)

    def _count_refusal(self, reason: str) -> None:
        if self._transport is None:
            return
        peer = self._transport.get_extra_info("peername")
        self._guard.count_refusal(
            reason, peer[0] if peer else "", self._held.total_bytes
        )

    def _close_transport(self) -> None:
        if self._transport is not None:
            self._transport.close()

    def _write_bytes(self, data: bytes) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(data)
            if self._count_sent is not None:
                self._count_sent(len(data))
            if self._transport.get_write_buffer_size():
                self.update_held_memory()
                self._guard.memory.enforce_limit()
