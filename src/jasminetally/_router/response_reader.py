"""Incremental reader of one HTTP response."""

from __future__ import annotations

import httptools

MAX_HEAD_BYTES = 65_536


class ResponseReader:
    """Decode the head and the transfer coding of one HTTP/1.1 response.

    The relay reads sockets without blocking, which the response classes of
    http.client and urllib3 do not support for chunked bodies; httptools parses
    whatever bytes have arrived.

    Attributes:
        status: Status code; 0 until the head has arrived.
        headers: Header values by lower-case name.
        complete: Whether the whole body has arrived.
        reusable: Whether the connection may carry another request.
    """

    def __init__(self) -> None:
        self.status = 0
        self.headers: dict[str, str] = {}
        self.complete = False
        self.reusable = False
        self._parser = httptools.HttpResponseParser(self)
        self._body: list[bytes] = []
        self._head_bytes = 0
        self._has_framing = False

    def feed(self, data: bytes) -> bytes:
        """Parse bytes from the connection and return the decoded body bytes.

        Raises:
            ValueError: The bytes are not an HTTP response, or bytes follow its
                end.
        """
        if self.complete:
            raise ValueError("bytes follow the end of the response")
        if not self.status:
            self._head_bytes += len(data)
        self._body = []
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as exc:
            raise ValueError(f"response is not valid HTTP: {exc}") from exc
        if not self.status and self._head_bytes > MAX_HEAD_BYTES:
            raise ValueError(f"response head exceeds {MAX_HEAD_BYTES} B")
        return b"".join(self._body)

    def finish(self) -> None:
        """Record that the server has closed the connection.

        Raises:
            ValueError: The response is incomplete.
        """
        if self.complete:
            return
        if not self.status or self._has_framing:
            raise ValueError("connection closed before the response ended")
        self.complete = True

    def on_message_begin(self) -> None:
        """Reject a second response (called by the parser)."""
        if self.complete:
            raise ValueError("bytes follow the end of the response")

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header (called by the parser)."""
        self.headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_headers_complete(self) -> None:
        """Store status and framing, except of an interim response.

        Called by the parser.
        """
        status = self._parser.get_status_code()
        if status < 200:
            self.headers = {}
            return
        self.status = status
        self._has_framing = (
            "transfer-encoding" in self.headers
            or "content-length" in self.headers
        )
        self.reusable = self._has_framing and self._parser.should_keep_alive()

    def on_body(self, body: bytes) -> None:
        """Store decoded bytes (called by the parser)."""
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Record the end of the response (called by the parser)."""
        if self.status:
            self.complete = True
