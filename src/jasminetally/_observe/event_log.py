"""Log of structured events that never blocks the code that writes to it."""

from __future__ import annotations

import collections
import os
import threading
import time

import msgspec

from jasminetally._observe import events

# Queue length that bounds memory while the log reader is slow. Lines that do
# not fit are dropped.
MAX_QUEUED_LINES = 4_000
# Rate limit of routine lines, so that they do not crowd out lines that explain
# a failure, which only the queue length limits.
MAX_ROUTINE_LINES_PER_S = 200
# The same for the other lines that callers can cause at any rate.
MAX_REQUEST_LINES_PER_S = 200
# Size at which a batch of lines is written. A reader of a pipe takes about this
# much at once; larger writes were cut inside a line, which hid events.
WRITE_BATCH_BYTES = 2_048
# Pause between two flushes of the queue, and before a full pipe is tried again.
FLUSH_INTERVAL_S = 0.1


class EventLog:
    """Write events as JSON lines from a background thread.

    ``emit`` only appends to a bounded queue, so a log reader that stops
    reading delays no request. Dropped lines are counted, and a
    ``lines_left_out`` event reports their number.

    Args:
        descriptor: File descriptor to write to.
        node: Name of the instance, which each line carries.
    """

    def __init__(self, descriptor: int, *, node: str) -> None:
        self._descriptor = descriptor
        self._node = node
        self._queue: collections.deque[tuple[float, events.Event]] = (
            collections.deque()
        )
        self._dropped_lines = 0
        # Lines of this second that have a rate limit.
        self._second = 0
        self._routine_lines = 0
        self._request_lines = 0
        self._wake_writer = threading.Event()
        self._closing = False
        self._writer_thread = threading.Thread(
            target=self._run_writer, name="event-log", daemon=True
        )
        self._writer_thread.start()

    def emit(self, event: events.Event, *, routine: bool = False) -> None:
        """Queue an event, or drop it if a limit is reached.

        Args:
            event: Event to write, with the current time of day.
            routine: Whether the event explains no failure, so that the rate
                limit of routine lines applies.
        """
        now = time.time()
        if not self._admit_line(int(now), event, routine=routine):
            self._dropped_lines += 1
            return
        if len(self._queue) >= MAX_QUEUED_LINES:
            self._dropped_lines += 1
            return
        self._queue.append((now, event))
        if len(self._queue) == 1:
            self._wake_writer.set()

    @property
    def queued_lines(self) -> int:
        """Number of lines that are not yet written."""
        return len(self._queue)

    def close(self, timeout_s: float = 0.5) -> None:
        """Flush the queue and stop the writer thread.

        Args:
            timeout_s: Longest wait for the reader, in seconds. Lines that are
                not written by then are lost if the process ends.
        """
        self._closing = True
        self._wake_writer.set()
        self._writer_thread.join(timeout_s)

    def _admit_line(
        self, second: int, event: events.Event, *, routine: bool
    ) -> bool:
        """Count a line; return whether it is within its rate limit."""
        if second != self._second:
            self._second = second
            self._routine_lines = self._request_lines = 0
        if routine:
            self._routine_lines += 1
            return self._routine_lines <= MAX_ROUTINE_LINES_PER_S
        if event.of_request:
            self._request_lines += 1
            return self._request_lines <= MAX_REQUEST_LINES_PER_S
        return True

    def _run_writer(self) -> None:
        encoder = msgspec.json.Encoder(enc_hook=str)
        while True:
            self._wake_writer.wait()
            self._wake_writer.clear()
            # Read first: the flush may miss lines queued before a close.
            closing = self._closing
            self._flush_queue(encoder)
            if closing:
                return
            time.sleep(FLUSH_INTERVAL_S)

    def _flush_queue(self, encoder: msgspec.json.Encoder) -> None:
        while self._queue:
            batch = [self._encode_line(encoder, *self._queue.popleft())]
            size = len(batch[0])
            while self._queue and size < WRITE_BATCH_BYTES:
                batch.append(self._encode_line(encoder, *self._queue.popleft()))
                size += len(batch[-1])
            dropped, self._dropped_lines = self._dropped_lines, 0
            if dropped:
                left_out = events.LinesLeftOut(count=dropped)
                batch.append(self._encode_line(encoder, time.time(), left_out))
            if not self._write_fully(b"".join(batch)):
                self._dropped_lines += len(batch)

    def _encode_line(
        self, encoder: msgspec.json.Encoder, at_s: float, event: events.Event
    ) -> bytes:
        """Return an event as a JSON line that begins with time and node."""
        fields = encoder.encode(event)
        return b'{"t":%.4f,"node":%b,%b\n' % (
            at_s,
            encoder.encode(self._node),
            fields[1:],
        )

    def _write_fully(self, data: bytes) -> bool:
        """Write all bytes; return False if the descriptor fails."""
        while data:
            try:
                data = data[os.write(self._descriptor, data) :]
            except BlockingIOError:
                time.sleep(FLUSH_INTERVAL_S)
            except OSError:
                # The log can't report its own failure; the lines are counted
                # as dropped.
                return False
        return True
