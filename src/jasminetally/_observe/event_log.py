"""Structured log lines on standard output that never block."""

from __future__ import annotations

import collections
import os
import threading
import time
from typing import Any

import msgspec

# Lines that wait for a reader that is slow; older routine lines are dropped
# first.
BUFFER_LINES = 4_000
# Routine lines a second; lines that explain a failure have no such limit but
# the buffer.
ROUTINE_PER_S = 200
# Size of one write: readers of pipes take up to this much at once.
WRITE_BYTES = 2_048
# The writer wakes at least this often to write what has gathered.
FLUSH_S = 0.1


class EventLog:
    """Write one JSON object a line, from a thread of its own.

    ``emit`` only appends to a bounded buffer, so a reader that stops reading
    delays no request. What was left out is counted and said in a line.

    Args:
        descriptor: File descriptor that lines are written to.
        node: Name of the instance, a field of each line.
    """

    def __init__(self, descriptor: int, *, node: str) -> None:
        self._descriptor = descriptor
        self._node = node
        self._lines: collections.deque[dict[str, Any]] = collections.deque()
        self._dropped = 0
        self._second = 0
        self._routine = 0
        self._wake = threading.Event()
        self._stopped = False
        self._thread = threading.Thread(
            target=self._run, name="event-log", daemon=True
        )
        self._thread.start()

    def emit(
        self, event: str, /, *, routine: bool = False, **fields: object
    ) -> None:
        """Queue a line.

        Args:
            event: Name of the event.
            routine: The line explains no failure and may be left out.
            **fields: What decided and the outcome.
        """
        now = time.time()
        if routine and not self._may_write_routine(int(now)):
            self._dropped += 1
            return
        if len(self._lines) >= BUFFER_LINES:
            self._dropped += 1
            return
        self._lines.append(
            {"t": round(now, 4), "event": event, "node": self._node, **fields}
        )
        if len(self._lines) == 1:
            self._wake.set()

    @property
    def waiting(self) -> int:
        """Lines that wait to be written."""
        return len(self._lines)

    def close(self, timeout_s: float = 0.5) -> None:
        """Write what is queued, as far as the reader takes it in time."""
        self._stopped = True
        self._wake.set()
        self._thread.join(timeout_s)

    def _may_write_routine(self, second: int) -> bool:
        if second != self._second:
            self._second = second
            self._routine = 0
        self._routine += 1
        return self._routine <= ROUTINE_PER_S

    def _run(self) -> None:
        encoder = msgspec.json.Encoder(enc_hook=str)
        while True:
            self._wake.wait()
            self._wake.clear()
            self._write_all(encoder)
            if self._stopped:
                return
            time.sleep(FLUSH_S)

    def _write_all(self, encoder: msgspec.json.Encoder) -> None:
        while self._lines:
            rows = [encoder.encode(self._lines.popleft()) + b"\n"]
            size = len(rows[0])
            while self._lines and size < WRITE_BYTES:
                rows.append(encoder.encode(self._lines.popleft()) + b"\n")
                size += len(rows[-1])
            dropped, self._dropped = self._dropped, 0
            if dropped:
                rows.append(encoder.encode(self._left_out(dropped)) + b"\n")
            if not self._write(b"".join(rows)):
                self._dropped += len(rows)

    def _left_out(self, count: int) -> dict[str, Any]:
        return {
            "t": round(time.time(), 4),
            "event": "lines_left_out",
            "node": self._node,
            "count": count,
        }

    def _write(self, data: bytes) -> bool:
        """Write bytes; return whether a reader took them."""
        while data:
            try:
                data = data[os.write(self._descriptor, data) :]
            except BlockingIOError:
                time.sleep(FLUSH_S)
            except OSError:
                # Without a reader there is nowhere to report this but in the
                # count of lines left out.
                return False
        return True
