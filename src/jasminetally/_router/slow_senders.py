"""Limit on the time that a caller takes to send a request."""

from __future__ import annotations

import contextlib
import socket
import threading
import time

CHECK_INTERVAL_S = 0.25


class SlowSenders:
    """End requests whose caller takes too long to send them.

    cheroot limits only the time between two reads, so a caller that sends one
    byte now and then would hold a thread for ever. Shutting down the reading
    side makes the pending read fail and leaves the response possible.

    Args:
        limit_s: Longest time from the first byte to the end of the body.
    """

    def __init__(self, *, limit_s: float) -> None:
        self._limit_s = limit_s
        self._lock = threading.Lock()
        self._started: dict[socket.socket, float] = {}

    def begin(self, conn: socket.socket) -> None:
        """Note that a request begins to arrive."""
        with self._lock:
            self._started[conn] = time.monotonic()

    def end(self, conn: socket.socket) -> None:
        """Note that a request has arrived or its connection is done."""
        with self._lock:
            self._started.pop(conn, None)

    def check(self) -> None:
        """Stop reading from callers that are over the limit."""
        limit_s = time.monotonic() - self._limit_s
        with self._lock:
            late = [
                conn
                for conn, start_s in self._started.items()
                if start_s < limit_s
            ]
            for conn in late:
                del self._started[conn]
                with contextlib.suppress(OSError):
                    conn.shutdown(socket.SHUT_RD)
