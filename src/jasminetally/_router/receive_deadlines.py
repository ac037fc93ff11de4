"""Limit on the time that a caller takes to send a request."""

from __future__ import annotations

import contextlib
import socket
import threading
import time

CHECK_INTERVAL_S = 0.25


class ReceiveDeadlines:
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
        self._start_times_s: dict[socket.socket, float] = {}

    def start_deadline(self, conn: socket.socket) -> None:
        """Note that a request begins to arrive."""
        with self._lock:
            self._start_times_s[conn] = time.monotonic()

    def clear_deadline(self, conn: socket.socket) -> None:
        """Note that a request has arrived or its connection is done."""
        with self._lock:
            self._start_times_s.pop(conn, None)

    def enforce_deadlines(self) -> None:
        """Stop reading from callers that are over the limit."""
        oldest_start_s = time.monotonic() - self._limit_s
        with self._lock:
            overdue = [
                conn
                for conn, start_s in self._start_times_s.items()
                if start_s < oldest_start_s
            ]
            for conn in overdue:
                del self._start_times_s[conn]
                with contextlib.suppress(OSError):
                    conn.shutdown(socket.SHUT_RD)
