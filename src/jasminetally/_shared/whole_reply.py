"""HTTP connections that take only whole replies as replies.

The parser of the standard library takes the end of a connection for the end of
a head, of a chunk's size and of a trailer, so a reply that was cut there counts
as one with an empty body. It also returns interim responses other than 100.
"""

from __future__ import annotations

from email import errors
from http import client
import io
import socket
from typing import Any

import urllib3
from urllib3 import connection

from jasminetally._shared import whole_number

SWITCHING_PROTOCOLS = 101


def make_pool(
    host: str, port: int, **options: Any
) -> urllib3.HTTPConnectionPool:
    """Return a pool of connections to one address.

    Replies must state their length or come in chunks; any other is reported as
    a ``urllib3.exceptions.ProtocolError``, like one that was cut.

    Args:
        host: Host name or IP address.
        port: TCP port.
        **options: Further arguments of ``urllib3.HTTPConnectionPool``.
    """
    return _FramedPool(host, port, **options)


def make_pool_manager(
    *, allow_unframed: bool = False, **options: Any
) -> urllib3.PoolManager:
    """Return a manager of pools of connections for ``http`` URLs.

    Replies that were cut are reported as ``urllib3.exceptions.ProtocolError``.

    Args:
        allow_unframed: Take replies whose body ends with the connection. If
            such a body is cut by an orderly end of the connection, only its
            content can show it.
        **options: Further arguments of ``urllib3.PoolManager``.
    """
    manager = urllib3.PoolManager(**options)
    pool_class = _Pool if allow_unframed else _FramedPool
    manager.pool_classes_by_scheme = {"http": pool_class}
    return manager


class _LineReader(io.BufferedReader):
    """Reader of a socket that reports lines without an end as errors.

    Replies have lines in their head, their chunk sizes and their trailer.
    """

    def readline(self, size: int | None = -1, /) -> bytes:
        line = super().readline(size)
        if not line.endswith(b"\n") and len(line) != size:
            raise client.IncompleteRead(line)
        return line

    def read(self, size: int | None = -1, /) -> bytes:
        if size is not None and size < -1:
            raise client.HTTPException("negative size of a chunk of a reply")
        return super().read(size)


class _Response(client.HTTPResponse):
    def __init__(self, sock: socket.socket, *args: Any, **options: Any) -> None:
        super().__init__(sock, *args, **options)
        self.fp.close()
        self.fp = _LineReader(sock.makefile("rb", buffering=0))

    def begin(self) -> None:
        """Read the head of the final response."""
        super().begin()
        while 100 <= self.status < 200:
            if self.status == SWITCHING_PROTOCOLS:
                raise client.BadStatusLine(f"unexpected status {self.status}")
            self.headers = self.msg = None
            super().begin()
        self._check_framing()

    def _check_framing(self) -> None:
        """Raise ``HTTPException`` if the framing of the body is not clear."""
        if any(
            isinstance(defect, errors.MissingHeaderBodySeparatorDefect)
            for defect in self.headers.defects
        ):
            raise client.HTTPException("malformed line in the head of a reply")
        lengths = self.headers.get_all("Content-Length", [])
        if not self.chunked and (
            "Transfer-Encoding" in self.headers
            or any(whole_number.parse(text) is None for text in lengths)
        ):
            raise client.HTTPException("unknown framing of the body of a reply")


class _FramedResponse(_Response):
    def _check_framing(self) -> None:
        super()._check_framing()
        if not self.chunked and self.length is None:
            raise client.HTTPException(
                "reply states neither a length nor chunks"
            )


class _Connection(connection.HTTPConnection):
    response_class = _Response


class _FramedConnection(connection.HTTPConnection):
    response_class = _FramedResponse


class _Pool(urllib3.HTTPConnectionPool):
    ConnectionCls = _Connection


class _FramedPool(urllib3.HTTPConnectionPool):
    ConnectionCls = _FramedConnection
