"""HTTP/1.1 client connection to a backend server."""

from __future__ import annotations

import asyncio
import collections
from collections.abc import Callable
import re
import time

import httptools

from jasminetally._forward import caller_request
from jasminetally._forward import response_part
from jasminetally._forward import socket_options

# Received bytes that may wait for a slow caller before reading from the server
# pauses.
RESPONSE_BUFFER_LIMIT_BYTES = 262_144
# Received bytes that may add nothing to a response, such as those of its head,
# of interim responses or of a trailer. Heads of backend servers have less than
# a kilobyte; a faulty server may send such bytes without end.
OVERHEAD_LIMIT_BYTES = 65_536
# Valid status codes; RFC 9110, section 15.
VALID_STATUSES = range(100, 600)
# Idle timeout of a connection whose server states none.
DEFAULT_IDLE_TIMEOUT_S = 2.0
# Servers state their idle timeout rounded to whole seconds. Connections are not
# reused during this last part of it, so that the server does not close a
# connection while a request is being sent.
IDLE_TIMEOUT_MARGIN_S = 0.8

_KEEP_ALIVE_TIMEOUT = re.compile(rb"timeout=(\d+)")


class ServerConnection(asyncio.Protocol):
    """Sends requests to a server and queues the parts of its responses.

    Responses to earlier requests may still arrive, so the reader has to check
    which request a response belongs to.

    Args:
        on_closed: Called when the connection ends while it is idle.

    Attributes:
        connect_began_s: Monotonic time in seconds before which it was not
            opened.
        idle_since_s: Monotonic time in seconds at which it became idle.
        idle_timeout_s: Seconds of idle time after which it is not reused.
        leased: Whether a request is using the connection.
        sent_requests: Number of requests sent on the connection.
        answered: Whether any response data have arrived.
        lost: Whether the connection ended without being closed here.
        process_started_ms: Start of the server process behind the connection in
            Unix milliseconds; 0 if the server doesn't state it, None if it
            wasn't asked.
    """

    def __init__(self, on_closed: Callable[[ServerConnection], None]) -> None:
        self.connect_began_s = float("-inf")
        self.idle_since_s = time.monotonic()
        self.idle_timeout_s = DEFAULT_IDLE_TIMEOUT_S
        self.leased = True
        self.sent_requests = 0
        self.answered = False
        self.lost = False
        self.process_started_ms: int | None = None
        self._on_closed = on_closed
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._parts: collections.deque[response_part.ResponsePart]
        self._parts = collections.deque()
        self._waiter: asyncio.Future[None] | None = None
        # Pieces of a body from the bytes that are being parsed.
        self._body_pieces: list[bytes] = []
        self._buffered_bytes = 0
        # Received since a final head, a part of a body or a response's end.
        self._overhead_bytes = 0
        self._closed = False
        self._awaiting_response = False
        self._reset_message()

    @property
    def buffered_bytes(self) -> int:
        """Bytes of bodies that were received and not taken yet."""
        return self._buffered_bytes

    @property
    def used(self) -> bool:
        """Whether a response to an earlier request or query may still come."""
        return self.sent_requests > 1 or self.process_started_ms is not None

    @property
    def reusable(self) -> bool:
        """Whether another request may be sent on the connection."""
        return (
            self._transport is not None
            and not self._transport.is_closing()
            and not self._transport.get_write_buffer_size()
            and not self._parts
            and not self._in_message
            and not self._awaiting_response
            and self._keep_alive
        )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set up a new connection; called by the event loop."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        socket_options.enable_keepalive(
            transport, socket_options.SERVER_USER_TIMEOUT_MS
        )

    def send_request(self, data: bytes) -> None:
        """Send an encoded request."""
        self.sent_requests += 1
        self.send_query(data)

    def send_query(self, data: bytes) -> None:
        """Send an encoded query about the server, which is no request."""
        self._awaiting_response = True
        if self._transport is not None:
            self._transport.write(data)

    def send_more(self, data: bytes) -> None:
        """Send a further piece of the request."""
        if self._transport is not None:
            self._transport.write(data)

    def mark_response_complete(self) -> None:
        """Note that the response to the request has been read completely."""
        self._awaiting_response = False

    async def next_part(self) -> response_part.ResponsePart:
        """Return the next part of a response, waiting for it if necessary."""
        while not self._parts:
            self._waiter = asyncio.get_running_loop().create_future()
            await self._waiter
        part = self._parts.popleft()
        if isinstance(part, response_part.BodyData):
            self._buffered_bytes -= len(part.data)
            if (
                self._buffered_bytes < RESPONSE_BUFFER_LIMIT_BYTES
                and self._transport
            ):
                self._transport.resume_reading()
        return part

    def reset(self, reason: str) -> None:
        """Reset the connection, and end the response in flight.

        Args:
            reason: Cause, for the log.
        """
        self._fail(response_part.ConnectionLost(reason))

    def close(self) -> None:
        """Close the connection; reset it if a request is under way.

        The server then cancels the request, or never gets it if a cut link
        holds it up.
        """
        self._closed = True
        if self._transport is not None:
            if self._awaiting_response:
                socket_options.reset_on_close(self._transport)
            self._transport.abort()
            self._transport = None

    def data_received(self, data: bytes) -> None:
        """Parse received bytes and queue the parts of responses."""
        self.answered = True
        if not self.leased:
            # Bytes after a complete response belong to no request.
            self.close()
            self._on_closed(self)
            return
        self._overhead_bytes += len(data)
        try:
            self._parser.feed_data(data)
            self._queue_body()
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as exc:
            # An exception of a callback is the context of the parser's.
            cause = exc.__context__ or exc
            self._fail(
                response_part.ConnectionLost(
                    f"the server sent an invalid HTTP response: {cause}"
                )
            )
            return
        if self._overhead_bytes > OVERHEAD_LIMIT_BYTES:
            self._fail(
                response_part.ConnectionLost(
                    "the server's response has a head or trailer of more than "
                    f"{OVERHEAD_LIMIT_BYTES} bytes"
                )
            )
            return
        if (
            self._buffered_bytes > RESPONSE_BUFFER_LIMIT_BYTES
            and self._transport
        ):
            self._transport.pause_reading()

    def connection_lost(self, exc: Exception | None) -> None:
        """End the response in flight; called by the event loop."""
        self._transport = None
        self.lost = not self._closed
        if not self.leased:
            self._on_closed(self)
            return
        if self._closed:
            return
        if exc is None and self._in_message and self._close_delimited:
            self._queue_part(response_part.ResponseEnd())
            self._in_message = False
            self._keep_alive = False
            return
        self._fail(
            response_part.ConnectionLost(
                str(exc) if exc else "the server closed the connection",
                closed_by_server=True,
            )
        )

    def on_message_begin(self) -> None:
        """Reset the parsing state; called by the parser for each response."""
        self._reset_message()
        self._in_message = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header; called by the parser."""
        self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Queue the head of a final response; called by the parser."""
        status = self._parser.get_status_code()
        if status not in VALID_STATUSES:
            # Ends the parsing.
            raise ValueError(f"invalid status {status}")
        if status < 200:
            return
        self._overhead_bytes = 0
        length = None
        has_framing = False
        for name, value in self._headers:
            if name == b"content-length":
                length = int(value)
                has_framing = True
            elif name == b"transfer-encoding":
                has_framing = True
            elif name == b"keep-alive":
                self._read_idle_timeout(value)
        bodiless = status in (204, 304)
        self._close_delimited = not has_framing and not bodiless
        self._queue_part(
            response_part.ResponseHead(
                status, self._headers, 0 if bodiless else length
            )
        )

    def on_body(self, data: bytes) -> None:
        """Add a piece of the body; called by the parser for each chunk.

        The pieces of one read become one part: a faulty server may send each
        byte in a chunk of its own, and each part costs a turn of its reader.
        """
        self._overhead_bytes = 0
        self._body_pieces.append(data)

    def on_message_complete(self) -> None:
        """Queue the end of a final response; called by the parser."""
        self._in_message = False
        if self._parser.get_status_code() < 200:
            return
        self._overhead_bytes = 0
        self._keep_alive = bool(self._parser.should_keep_alive())
        self._queue_part(response_part.ResponseEnd())

    def _read_idle_timeout(self, value: bytes) -> None:
        found = _KEEP_ALIVE_TIMEOUT.search(value)
        if found is not None:
            self.idle_timeout_s = max(
                0.0, int(found[1]) - IDLE_TIMEOUT_MARGIN_S
            )

    def _fail(self, part: response_part.ConnectionLost) -> None:
        self._queue_part(part)
        self.close()

    def _queue_body(self) -> None:
        if self._body_pieces:
            data = b"".join(self._body_pieces)
            self._body_pieces.clear()
            self._buffered_bytes += len(data)
            self._queue_part(response_part.BodyData(data))

    def _queue_part(self, part: response_part.ResponsePart) -> None:
        self._queue_body()
        self._parts.append(part)
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def _reset_message(self) -> None:
        self._headers: list[caller_request.Header] = []
        self._in_message = False
        self._close_delimited = False
        self._keep_alive = True
