"""Structured log lines on standard output that never block."""

from __future__ import annotations

import collections
import os
import threading
import time

import msgspec

from jasminetally._observe import events

# Lines that wait for a reader that is slow; older routine lines are dropped
# first.
MAX_QUEUED_LINES = 4_000
# Routine lines a second; lines that explain a failure have no such limit but
# the buffer.
MAX_ROUTINE_LINES_PER_S = 200
# Size of one write: readers of pipes take up to this much at once.
WRITE_BATCH_BYTES = 2_048
# The writer wakes at least this often to write what has gathered.
FLUSH_INTERVAL_S = 0.1


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
        self._lines: collections.deque[tuple[float, events.Event]] = (
            collections.deque()
        )
        self._dropped = 0
        self._second = 0
        self._routine = 0
        self._wake = threading.Event()
        self._stopped = False
        self._thread = threading.Thread(
            target=self._run, name="event-log", daemon=True
        )
        self._thread.start()

    def emit(self, event: events.Event, *, routine: bool = False) -> None:
        """Queue a line.

        Args:
            event: What decided and the outcome.
            routine: The line explains no failure and may be left out.
        """
        now = time.time()
        if routine and not self._may_write_routine(int(now)):
            self._dropped += 1
            return
        if len(self._lines) >= MAX_QUEUED_LINES:
            self._dropped += 1
            return
        self._lines.append((now, event))
        if len(self._lines) == 1:
            self._wake.set()

    @property
    def queued_lines(self) -> int:
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
        return self._routine <= MAX_ROUTINE_LINES_PER_S

    def _run(self) -> None:
        encoder = msgspec.json.Encoder(enc_hook=str)
        while True:
            self._wake.wait()
            self._wake.clear()
            self._write_all(encoder)
            if self._stopped:
                return
            time.sleep(FLUSH_INTERVAL_S)

    def _write_all(self, encoder: msgspec.json.Encoder) -> None:
        while self._lines:
            rows = [self._row(encoder, *self._lines.popleft())]
            size = len(rows[0])
            while self._lines and size < WRITE_BATCH_BYTES:
                rows.append(self._row(encoder, *self._lines.popleft()))
                size += len(rows[-1])
            dropped, self._dropped = self._dropped, 0
            if dropped:
                left_out = events.LinesLeftOut(count=dropped)
                rows.append(self._row(encoder, time.time(), left_out))
            if not self._write(b"".join(rows)):
                self._dropped += len(rows)

    def _row(
        self, encoder: msgspec.json.Encoder, at_s: float, event: events.Event
    ) -> bytes:
        """Return the line of an event, which begins with time and node."""
        fields = encoder.encode(event)
        return b'{"t":%.4f,"node":%b,%b\n' % (
            at_s,
            encoder.encode(self._node),
            fields[1:],
        )

    def _write(self, data: bytes) -> bool:
        """Write bytes; return whether a reader took them."""
        while data:
            try:
                data = data[os.write(self._descriptor, data) :]
            except BlockingIOError:
                time.sleep(FLUSH_INTERVAL_S)
            except OSError:
                # Without a reader there is nowhere to report this but in the
                # count of lines left out.
                return False
        return True
