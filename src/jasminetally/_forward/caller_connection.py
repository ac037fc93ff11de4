"""HTTP/1 server connection of a caller."""

from __future__ import annotations

import asyncio
import collections
from collections.abc import Awaitable
from collections.abc import Callable
from http import client as http_client
import time

import httptools

from jasminetally import _errors
from jasminetally._deployment import caller_limits
from jasminetally._forward import caller_request
from jasminetally._forward import socket_options
from jasminetally._http import error_reply
from jasminetally._links import receive_meter

# Number of complete requests in the queue of a connection at which reading
# pauses.
PIPELINED_REQUESTS_LIMIT = 8
# Delay between an error response and closing a connection with unread input.
# Closing it at once would reset it, and the caller might not get the response.
LINGERING_CLOSE_S = 0.5
# Time limit from the first byte of a request to the end of its body. The
# deadline that the request names applies only once it has arrived.
BODY_TIMEOUT_S = 15.0
# Bytes beyond the limit of a head that may add nothing to a body, such as those
# of a trailer.
OVERHEAD_LIMIT_BYTES = 65_536

# Statuses of responses that have no body.
BODILESS_STATUSES = (204, 304)

RequestHandler = Callable[
    ["CallerConnection", caller_request.CallerRequest], Awaitable[None]
]


class CallerConnection(asyncio.Protocol):
    """Reads the requests of a caller and writes the responses, one at a time.

    The handler is called with complete requests only, so a malformed one never
    reaches a backend server. The handler's task is cancelled when the caller
    closes the connection.

    Args:
        handler: Coroutine function that writes the response to a request.
        limits: Returns the limits on callers' requests that are in force.
        open_connections: Set that contains the connection while it is open.
        count_sent: Called with each number of bytes that are sent, if given.
        meter: Counts what callers send, if given.
    """

    def __init__(
        self,
        handler: RequestHandler,
        limits: Callable[[], caller_limits.CallerLimits],
        open_connections: set[CallerConnection],
        count_sent: Callable[[int], None] | None = None,
        meter: receive_meter.ReceiveMeter | None = None,
    ) -> None:
        self._meter = meter
        self._handler = handler
        self._limits = limits
        self._open_connections = open_connections
        self._count_sent = count_sent
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._queued_requests: collections.deque[caller_request.CallerRequest]
        self._queued_requests = collections.deque()
        self._handler_task: asyncio.Task | None = None
        self._writable = asyncio.Event()
        self._writable.set()
        self._rejected = False
        self._chunked = False
        # Whether to close once all requests that were received are answered,
        # and whether the response in flight says that it is the last one.
        self._close_requested = False
        self._close_after_response = False
        self._closing = False
        self._close_delimited = False
        self._idle_since_s = 0.0
        self._http_1_0 = False
        self._reset_message()

    @property
    def busy(self) -> bool:
        """Whether a request is being handled or has begun to arrive."""
        return (
            self._handler_task is not None or self._message_start_s is not None
        )

    @property
    def _more_to_answer(self) -> bool:
        """Whether a request waits behind the one in flight, or arrives."""
        return bool(self._queued_requests) or (
            self._message_start_s is not None and not self._rejected
        )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set up a new connection; called by the event loop."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        socket_options.enable_keepalive(transport)
        self._idle_since_s = time.monotonic()
        self._open_connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the request in flight; called by the event loop."""
        del exc
        self._open_connections.discard(self)
        self._transport = None
        self._writable.set()
        if self._handler_task is not None:
            self._handler_task.cancel()

    def pause_writing(self) -> None:
        """Make ``drain`` wait because the write buffer is full."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """Let ``drain`` return because the write buffer has room again."""
        self._writable.set()

    async def drain(self) -> None:
        """Wait until the write buffer has room."""
        await self._writable.wait()

    def data_received(self, data: bytes) -> None:
        """Parse received bytes and handle complete requests."""
        now_s = time.monotonic()
        if self._meter is not None:
            self._meter.count_received(len(data), now_s)
        if self._rejected:
            return
        # Empty lines before a request are no part of it.
        if self._message_start_s is None and data.strip(b"\r\n"):
            self._message_start_s = now_s
        if not self._head_complete:
            self._head_bytes += len(data)
        self._overhead_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            return
        except httptools.HttpParserError:
            if not self._rejected:
                self._reject_request(400, "malformed_request")
            return
        if self._rejected:
            return
        limits = self._limits()
        if (
            not self._head_complete
            and self._head_bytes > limits.max_header_bytes
        ):
            self._reject_request(431, "head_too_large")
        elif self._body_bytes > limits.max_body_bytes:
            self._reject_request(413, "body_too_large")
        elif (
            self._head_complete
            and self._overhead_bytes
            > limits.max_header_bytes + OVERHEAD_LIMIT_BYTES
        ):
            self._reject_request(431, "trailer_too_large")
        if not self._rejected:
            self._handle_next_request()

    def on_message_begin(self) -> None:
        """Reset the parsing state; called by the parser for each request."""
        self._reset_message()
        self._message_start_s = time.monotonic()

    def on_url(self, data: bytes) -> None:
        """Append to the request target; called by the parser."""
        self._target += data

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header; called by the parser."""
        self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Note the end of the head; called by the parser.

        Sends ``100 Continue`` to a caller that waits for it before it sends
        the body.
        """
        self._head_complete = True
        self._head_bytes = len(self._target) + sum(
            len(name) + len(value) for name, value in self._headers
        )
        if self._rejected:
            return
        for name, value in self._headers:
            if name == b"expect" and value.lower() == b"100-continue":
                self._write_bytes(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, data: bytes) -> None:
        """Append to the body up to the limit; called by the parser."""
        self._overhead_bytes = 0
        self._body_bytes += len(data)
        if self._body_bytes <= self._limits().max_body_bytes:
            self._body.append(data)

    def on_message_complete(self) -> None:
        """Queue the complete request; called by the parser.

        The parser goes on behind a request that is rejected, up to the end of
        the bytes that it was given.
        """
        if self._rejected:
            return
        limits = self._limits()
        if self._parser.should_upgrade():
            self._reject_request(400, "upgrade_not_supported")
            return
        if self._body_bytes > limits.max_body_bytes:
            self._reject_request(413, "body_too_large")
            return
        if self._head_bytes > limits.max_header_bytes:
            self._reject_request(431, "head_too_large")
            return
        now_s = time.monotonic()
        request = caller_request.CallerRequest(
            self._parser.get_method(),
            self._target,
            self._headers,
            b"".join(self._body),
            self._parser.get_http_version() == "1.0",
            self._parser.should_keep_alive(),
            self._message_start_s or now_s,
            now_s,
        )
        self._reset_message()
        self._queued_requests.append(request)
        if (
            len(self._queued_requests) >= PIPELINED_REQUESTS_LIMIT
            and self._transport
        ):
            self._transport.pause_reading()

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
        limits = self._limits()
        if self._rejected or self._handler_task is not None:
            return
        if self._message_start_s is None:
            if now_s - self._idle_since_s > limits.idle_timeout_s:
                self.close_if_idle()
            return
        waited_s = now_s - self._message_start_s
        if not self._head_complete:
            if waited_s > limits.header_timeout_s:
                self._reject_request(408, "head_too_slow")
        elif waited_s > BODY_TIMEOUT_S:
            self._reject_request(408, "body_too_slow")

    def _handle_next_request(self) -> None:
        if (
            self._handler_task is not None
            or not self._queued_requests
            or self._closing
        ):
            return
        request = self._queued_requests.popleft()
        self._http_1_0 = request.http_1_0
        if not request.keep_alive:
            self._close_after_response = True
        if self._transport is not None:
            self._transport.resume_reading()
        self._handler_task = asyncio.ensure_future(self._handler(self, request))
        self._handler_task.add_done_callback(self._on_handler_done)

    def _on_handler_done(self, task: asyncio.Task) -> None:
        self._handler_task = None
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
        if (
            self._close_after_response
            or self._closing
            or (self._rejected and not self._queued_requests)
        ):
            self._closing = True
            self._transport.close()
            return
        self._handle_next_request()

    def _reject_request(self, status: int, code: str) -> None:
        """Write an error for a request that can't be read, and close."""
        self._rejected = True
        self._close_requested = True
        self._handle_next_request()
        if self._handler_task is not None or self._transport is None:
            # The requests before it are answered before the connection closes.
            return
        self._closing = True
        self._http_1_0 = False
        self.send_error(
            _errors.CallerError(
                f"the request could not be read and did not run: {code}",
                status=status,
                code=code,
            ),
            [],
        )
        asyncio.get_running_loop().call_later(
            LINGERING_CLOSE_S, self._close_transport
        )

    def _close_transport(self) -> None:
        if self._transport is not None:
            self._transport.close()

    def _write_bytes(self, data: bytes) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(data)
            if self._count_sent is not None:
                self._count_sent(len(data))

    def _reset_message(self) -> None:
        self._message_start_s: float | None = None
        self._head_complete = False
        self._head_bytes = 0
        self._body_bytes = 0
        # Received since the start or since a piece of the body.
        self._overhead_bytes = 0
        self._target = b""
        self._headers: list[caller_request.Header] = []
        self._body: list[bytes] = []
