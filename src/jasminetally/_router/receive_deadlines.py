"""Deadlines for the arrival of requests."""

from __future__ import annotations

import contextlib
import socket
import threading
import time

CHECK_INTERVAL_S = 0.25


class ReceiveDeadlines:
    """End requests that do not arrive completely before their deadline.

    cheroot limits only the time between two reads, so a caller that sends
    single bytes slowly would occupy a thread without limit. Shutting down the
    reading side of the socket makes the pending read fail and still allows a
    response.

    Args:
        limit_s: Longest time from the first byte to the end of the body,
            seconds.
    """

    def __init__(self, *, limit_s: float) -> None:
        self._limit_s = limit_s
        self._lock = threading.Lock()
        self._start_times_s: dict[socket.socket, float] = {}

    def start_deadline(self, conn: socket.socket) -> None:
        """Start the deadline of a request that begins to arrive."""
        with self._lock:
            self._start_times_s[conn] = time.monotonic()

    def clear_deadline(self, conn: socket.socket) -> None:
        """Clear the deadline of a request that has arrived or was closed."""
        with self._lock:
            self._start_times_s.pop(conn, None)

    def enforce_deadlines(self) -> None:
        """Stop reading from callers whose deadline has passed."""
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
