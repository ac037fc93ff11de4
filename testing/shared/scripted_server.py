"""HTTP server that sends scripted bytes and then ends each connection."""

from __future__ import annotations

import contextlib
import socket
import struct
import threading


class ScriptedServer:
    """Accepts one connection at a time on a free port of 127.0.0.1.

    Attributes:
        replies: Bytes to send for each request of a connection, in turn; the
            connection ends after the last.
        ends_with_reset: Whether connections end with a reset, not with FIN.
        address: ``ip:port``.
    """

    def __init__(self) -> None:
        self.replies: list[bytes] = []
        self.ends_with_reset = False
        self._idle = threading.Event()
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def close(self) -> None:
        """Stop listening."""
        self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        self._thread.join()

    def wait_until_closed(self) -> None:
        """Wait until the connection in use has ended.

        A client that keeps the connection would otherwise race against its end.
        """
        assert self._idle.wait(timeout=10)

    def _run(self) -> None:
        while True:
            try:
                conn, _ = self._listener.accept()
            except OSError:
                return
            self._idle.clear()
            with conn, contextlib.suppress(OSError):
                self._serve(conn)
            self._idle.set()

    def _serve(self, conn: socket.socket) -> None:
        for reply in list(self.replies):
            if not _read_request(conn):
                return
            conn.sendall(reply)
        if self.ends_with_reset:
            linger = struct.pack("ii", 1, 0)
            conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)


def _read_request(conn: socket.socket) -> bool:
    """Read a request with a length or without a body; False at the end."""
    data = b""
    while b"\r\n\r\n" not in data:
        piece = conn.recv(65_536)
        if not piece:
            return False
        data += piece
    head, _, body = data.partition(b"\r\n\r\n")
    length = 0
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"content-length:"):
            length = int(line.partition(b":")[2])
    while len(body) < length:
        body += conn.recv(65_536)
    return True
