"""Reader of one HTTP response from bytes as they arrive."""

from __future__ import annotations

import http.client
import io

HEAD_LIMIT_BYTES = 65_536
CHUNK_LIMIT_BYTES = 16_000_000


class ResponseReader:
    """Decode the head and the transfer coding of one HTTP/1.1 response.

    The relay reads sockets without blocking, which the response classes of
    http.client and urllib3 do not support for chunked bodies.

    Attributes:
        status: Status code; 0 until the head has arrived.
        headers: Header values by lower-case name.
        complete: The whole body has arrived.
        reusable: The connection may carry another request.
    """

    def __init__(self) -> None:
        self.status = 0
        self.headers: dict[str, str] = {}
        self.complete = False
        self.reusable = False
        self._buffer = b""
        self._chunked = False
        self._left: int | None = None

    def feed(self, data: bytes) -> bytes:
        """Take bytes from the connection and return decoded body bytes.

        Raises:
            ValueError: The bytes are not a response, or bytes follow its end.
        """
        if self.complete:
            raise ValueError("bytes follow the end of the response")
        if self._buffer:
            data = self._buffer + data
            self._buffer = b""
        if not self.status:
            data = self._read_head(data)
            if not self.status:
                return b""
        if self._chunked:
            return self._read_chunks(data)
        return self._read_plain(data)

    def finish(self) -> None:
        """Note that the connection was closed by the server.

        Raises:
            ValueError: The response is incomplete.
        """
        if self.complete:
            return
        if not self.status or self._chunked or self._left is not None:
            raise ValueError("connection closed before the response ended")
        self.complete = True

    def _read_head(self, data: bytes) -> bytes:
        end = data.find(b"\r\n\r\n")
        if end < 0:
            if len(data) > HEAD_LIMIT_BYTES:
                raise ValueError(f"response head exceeds {HEAD_LIMIT_BYTES} B")
            self._buffer = data
            return b""
        line, _, fields = data[: end + 4].partition(b"\r\n")
        parts = line.split(None, 2)
        if len(parts) < 2 or not parts[0].startswith(b"HTTP/1."):
            raise ValueError(f"status line {line[:80]!r} is not HTTP/1.x")
        parsed = http.client.parse_headers(io.BytesIO(fields))
        self.headers = {name.lower(): text for name, text in parsed.items()}
        status = int(parts[1])
        if 100 <= status < 200:
            self.headers = {}
            return self._read_head(data[end + 4 :])
        self.status = status
        self._set_framing(parts[0])
        return data[end + 4 :]

    def _set_framing(self, protocol: bytes) -> None:
        coding = self.headers.get("transfer-encoding", "").lower()
        self._chunked = coding == "chunked"
        connection = self.headers.get("connection", "").lower()
        self.reusable = protocol == b"HTTP/1.1" and connection != "close"
        if self._chunked:
            return
        length = self.headers.get("content-length")
        if length is not None:
            self._left = int(length)
        elif self.status in (204, 304):
            self._left = 0
        else:
            self.reusable = False

    def _read_plain(self, data: bytes) -> bytes:
        if self._left is None:
            return data
        if len(data) > self._left:
            raise ValueError("bytes follow the end of the response")
        self._left -= len(data)
        self.complete = not self._left
        return data

    def _read_chunks(self, data: bytes) -> bytes:
        parts = []
        start = 0
        while True:
            line_end = data.find(b"\r\n", start)
            if line_end < 0:
                break
            size = int(data[start:line_end].partition(b";")[0], 16)
            if not 0 <= size <= CHUNK_LIMIT_BYTES:
                raise ValueError(f"chunk of {size} B is too large")
            stop = line_end + size + 4
            if stop > len(data):
                break
            if not size:
                self.complete = True
                if stop != len(data):
                    raise ValueError("bytes follow the end of the response")
                return b"".join(parts)
            parts.append(data[line_end + 2 : stop - 2])
            start = stop
        self._buffer = data[start:]
        return parts[0] if len(parts) == 1 else b"".join(parts)
