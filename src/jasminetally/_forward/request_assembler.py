"""Assembly of callers' requests from the bytes of a connection."""

from __future__ import annotations

from collections.abc import Callable
import time
from typing import NamedTuple

import httptools

from jasminetally._deployment import caller_limits
from jasminetally._forward import caller_request
from jasminetally._overload import object_costs

# Largest number of bytes to pass to the parser at a time. The limits apply
# after each piece, so it bounds the objects that are made beyond them.
PIECE_BYTES = 8_192
# Bytes beyond the limit of a head that may add nothing to a body, such as those
# of a trailer.
OVERHEAD_LIMIT_BYTES = 65_536


class Rejection(NamedTuple):
    """Why a request can't be read.

    Attributes:
        status: HTTP status code of the error.
        code: Error code.
    """

    status: int
    code: str


class RequestAssembler:
    """Parses requests and applies the limits on their size.

    Nothing is assembled from a rejected request on.

    Args:
        limits: Returns the limits on callers' requests that are in force.
        on_request: Called with each complete request.
        on_continue: Called when a caller waits for ``100 Continue`` before it
            sends a body.

    Attributes:
        rejection: Why a request can't be read; None while none is rejected.
        message_start_s: Monotonic time in seconds at which the first byte of
            the request that is arriving came; None between two requests.
        head_complete: Whether the head of that request has arrived.
    """

    def __init__(
        self,
        limits: Callable[[], caller_limits.CallerLimits],
        on_request: Callable[[caller_request.CallerRequest], None],
        on_continue: Callable[[], None],
    ) -> None:
        self.rejection: Rejection | None = None
        self._limits = limits
        self._on_request = on_request
        self._on_continue = on_continue
        self._parser: httptools.HttpRequestParser | None
        self._parser = httptools.HttpRequestParser(self)
        self._reset_message()

    @property
    def held_bytes(self) -> int:
        """Memory that the request which is arriving takes.

        The parser keeps a line that is not complete, so the bytes since the
        start or the last piece of the body count as well.
        """
        return (
            self._overhead_bytes
            + len(self._target)
            + self._headers_bytes
            + object_costs.HEADER_BYTES * len(self._headers)
            + len(self._body)
        )

    def feed(self, piece: bytes, now_s: float) -> None:
        """Parse a piece of at most ``PIECE_BYTES`` and apply the limits.

        Args:
            piece: Bytes that were received.
            now_s: Monotonic time in seconds.
        """
        if self._parser is None:
            return
        # Empty lines before a request are no part of it.
        if self.message_start_s is None and piece.strip(b"\r\n"):
            self.message_start_s = now_s
        if not self.head_complete:
            self._head_bytes += len(piece)
        self._overhead_bytes += len(piece)
        try:
            self._parser.feed_data(piece)
        except httptools.HttpParserUpgrade:
            return
        except httptools.HttpParserError:
            self._reject(400, "malformed_request")
        self._check_incomplete()
        if self.rejection is not None:
            self.drop()

    def drop(self) -> None:
        """Drop what has been assembled, and assemble nothing more."""
        self._parser = None
        self._reset_message()

    def on_message_begin(self) -> None:
        """Reset the parsing state; called by the parser for each request."""
        self._reset_message()
        self.message_start_s = time.monotonic()

    def on_url(self, data: bytes) -> None:
        """Append to the request target; called by the parser."""
        self._target += data

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header; called by the parser."""
        self._headers.append((name.lower(), value))
        self._headers_bytes += len(name) + len(value)

    def on_headers_complete(self) -> None:
        """Note the end of the head; called by the parser."""
        self.head_complete = True
        self._head_bytes = len(self._target) + self._headers_bytes
        if self.rejection is not None:
            return
        for name, value in self._headers:
            if name == b"expect" and value.lower() == b"100-continue":
                self._on_continue()

    def on_body(self, data: bytes) -> None:
        """Append to the body up to the limit; called by the parser."""
        self._overhead_bytes = 0
        self._body_bytes += len(data)
        if self._body_bytes <= self._limits().max_body_bytes:
            self._body += data

    def on_message_complete(self) -> None:
        """Pass on the complete request; called by the parser.

        The parser goes on behind a request that is rejected, up to the end of
        the bytes that it was given.
        """
        parser = self._parser
        if self.rejection is not None or parser is None:
            return
        limits = self._limits()
        if parser.should_upgrade():
            self._reject(400, "upgrade_not_supported")
        elif self._body_bytes > limits.max_body_bytes:
            self._reject(413, "body_too_large")
        elif self._head_bytes > limits.max_header_bytes:
            self._reject(431, "head_too_large")
        else:
            now_s = time.monotonic()
            request = caller_request.CallerRequest(
                parser.get_method(),
                self._target,
                self._headers,
                bytes(self._body),
                parser.get_http_version() == "1.0",
                parser.should_keep_alive(),
                self.message_start_s or now_s,
                now_s,
            )
            self._reset_message()
            self._on_request(request)

    def _check_incomplete(self) -> None:
        """Reject a request that exceeds a limit before it is complete."""
        limits = self._limits()
        if not self.head_complete:
            if self._head_bytes > limits.max_header_bytes:
                self._reject(431, "head_too_large")
        elif self._body_bytes > limits.max_body_bytes:
            self._reject(413, "body_too_large")
        elif (
            self._overhead_bytes
            > limits.max_header_bytes + OVERHEAD_LIMIT_BYTES
        ):
            self._reject(431, "trailer_too_large")

    def _reject(self, status: int, code: str) -> None:
        if self.rejection is None:
            self.rejection = Rejection(status, code)

    def _reset_message(self) -> None:
        self.message_start_s: float | None = None
        self.head_complete = False
        self._head_bytes = 0
        self._body_bytes = 0
        # Received since the start or since a piece of the body.
        self._overhead_bytes = 0
        self._target = b""
        self._headers: list[caller_request.Header] = []
        # Names and values of the headers, those of a trailer too.
        self._headers_bytes = 0
        self._body = bytearray()
