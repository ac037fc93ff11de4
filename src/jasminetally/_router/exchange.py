"""One HTTP request of a caller and its response."""

from __future__ import annotations

import http
import select
import socket
from typing import TYPE_CHECKING
from typing import Any
from urllib import parse

import cheroot.errors
import msgspec

from jasminetally import _errors
from jasminetally._router import chunk_lines

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    import cheroot.server

EVENT_STREAM_TYPE = "text/event-stream; charset=utf-8"
# A body above the limit is read and discarded up to this multiple of the limit,
# so that the caller receives the error instead of a connection reset.
MAX_DISCARD_FACTOR = 8


class Exchange:
    """Read one request and write its response, on top of cheroot's request.

    Args:
        req: Request whose head has been read.
        body_limit_bytes: Largest accepted body.
        on_body_read: Called once the body has arrived completely.

    Attributes:
        method: Method in upper case.
        path: Unquoted path without query.
        query: Query string.
    """

    def __init__(
        self,
        req: cheroot.server.HTTPRequest,
        *,
        body_limit_bytes: int,
        on_body_read: Callable[[], None],
    ) -> None:
        self._req = req
        self._body_limit_bytes = body_limit_bytes
        self._on_body_read = on_body_read
        self.method = req.method.decode("latin-1")
        self.path = parse.unquote(req.path.decode("latin-1"))
        self.query = (req.qs or b"").decode("latin-1")

    @property
    def head_sent(self) -> bool:
        """Whether the head of the response has been sent."""
        return self._req.sent_headers

    @property
    def chunked(self) -> bool:
        """Whether the caller's HTTP version has the chunked transfer coding."""
        return self._req.response_protocol == "HTTP/1.1"

    @property
    def fileno(self) -> int:
        """File descriptor of the caller's connection."""
        return self._req.conn.socket.fileno()

    def header(self, name: str) -> str | None:
        """Return the value of a request header, or None.

        Raises:
            CallerError: The value has characters other than printable ASCII.
        """
        value = self._req.inheaders.get(name.title().encode())
        if value is None:
            return None
        text = value.decode("latin-1").strip()
        if not (text.isascii() and text.isprintable()):
            raise _errors.CallerError(
                f"header {name} has characters outside printable ASCII",
                status=400,
                code="invalid_header",
            )
        return text

    def read_body(self) -> bytes:
        """Read the body of the request.

        Raises:
            CallerError: The body is too large or incomplete, or its length is
                missing or invalid.
        """
        limit = self._body_limit_bytes
        declared = self._declared_body_bytes()
        if declared is not None and declared > limit:
            self._discard_body(declared)
            raise self._body_too_large(f"{declared} B")
        body = self._req.rfile
        if declared is None:
            # cheroot has no option for it; its reader of chunks keeps the input
            # of the connection here.
            body.rfile = chunk_lines.ChunkLines(body.rfile)
        try:
            data = body.read(limit + 1 if declared is None else None)
        except cheroot.errors.MaxSizeExceeded as exc:
            self._req.close_connection = True
            raise self._body_too_large(f"more than {limit} B") from exc
        except (ValueError, OSError) as exc:
            raise self._body_incomplete(str(exc)) from exc
        if len(data) > limit:
            self._req.close_connection = True
            raise self._body_too_large(f"more than {limit} B")
        if declared is not None and len(data) < declared:
            raise self._body_incomplete(f"{len(data)} of {declared} B arrived")
        self._on_body_read()
        return data

    def send(
        self,
        status: int,
        body: bytes,
        *,
        headers: Iterable[tuple[str, str]] = (),
        content_type: str = "application/json",
    ) -> None:
        """Send a whole response."""
        req = self._req
        phrase = http.HTTPStatus(status).phrase
        req.status = f"{status} {phrase}".encode()
        req.outheaders = [
            (b"Content-Type", content_type.encode()),
            (b"Content-Length", str(len(body)).encode()),
            *((name.encode(), text.encode()) for name, text in headers),
        ]
        req.sent_headers = True
        req.send_headers()
        if req.method != b"HEAD":
            req.write(body)

    def send_json(self, status: int, value: Any) -> None:
        """Send a whole response with a JSON value."""
        self.send(status, msgspec.json.encode(value))

    def stream_head(self, headers: Iterable[tuple[str, str]] = ()) -> bytes:
        """Return the head of a response made of server-sent events.

        The relay sends it with the first event; ``mark_head_sent`` must then be
        called.
        """
        lines = [
            "HTTP/1.1 200 OK",
            f"Content-Type: {EVENT_STREAM_TYPE}",
            "Cache-Control: no-cache",
            "Transfer-Encoding: chunked"
            if self.chunked
            else "Connection: close",
            *(f"{name}: {text}" for name, text in headers),
        ]
        return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")

    def mark_head_sent(self) -> None:
        """Record that the head has been sent by other means than ``send``."""
        self._req.sent_headers = True
        self._req.status = b"200 OK"
        self._req.chunked_write = self.chunked
        if not self.chunked:
            self._req.close_connection = True

    def write(self, data: bytes) -> None:
        """Write a part of the body; blocks while the caller reads slowly."""
        self._req.write(data)

    def write_raw(self, data: bytes) -> None:
        """Write bytes to which the transfer coding is applied already."""
        self._req.conn.wfile.write(data)

    def caller_gone(self) -> bool:
        """Return whether the caller has closed its connection."""
        conn = self._req.conn.socket
        try:
            # A read from a socket with a timeout would block for that time.
            if not select.select([conn], [], [], 0)[0]:
                return False
            return not conn.recv(1, socket.MSG_PEEK)
        except (OSError, ValueError):
            return True

    def abort(self) -> None:
        """Close the connection so that the caller sees an incomplete answer."""
        self._req.close_connection = True
        self._req.chunked_write = False

    def _declared_body_bytes(self) -> int | None:
        if self._req.chunked_read:
            return None
        text = self._req.inheaders.get(b"Content-Length")
        if text is None and self.method == "POST":
            self._req.close_connection = True
            raise _errors.CallerError(
                "the request has neither Content-Length nor Transfer-Encoding: "
                "chunked",
                status=411,
                code="length_required",
            )
        if text is None:
            return 0
        if not text.isdigit():
            self._req.close_connection = True
            raise _errors.CallerError(
                f"Content-Length {text[:40]!r} is not a non-negative integer",
                status=400,
                code="invalid_header",
            )
        return int(text)

    def _discard_body(self, declared: int) -> None:
        self._req.close_connection = True
        if declared > self._body_limit_bytes * MAX_DISCARD_FACTOR:
            return
        while declared > 0:
            data = self._req.rfile.read(min(declared, 65_536))
            if not data:
                return
            declared -= len(data)

    def _body_too_large(self, size: str) -> _errors.CallerError:
        return _errors.CallerError(
            f"the body has {size}; the limit is {self._body_limit_bytes} B",
            status=413,
            code="body_too_large",
        )

    def _body_incomplete(self, detail: str) -> _errors.CallerError:
        self._req.close_connection = True
        return _errors.CallerError(
            f"the body did not arrive completely in time: {detail}",
            status=408,
            code="body_incomplete",
        )
