"""Non-blocking writer of answer events to one caller."""

from __future__ import annotations

import array
import os
import time

# Memory bound for a caller that reads more slowly than the engine writes.
# Beyond it the relay stops reading from the engine.
MAX_PENDING_BYTES = 262_144
# A caller that has accepted no bytes for this long is treated as disconnected,
# since it may have gone without closing its connection.
STALL_TIMEOUT_S = 30.0


class CallerSink:
    """Write to a caller's non-blocking socket without waiting.

    Args:
        fileno: File descriptor of the connection, in non-blocking mode.
        head: Response head. It is sent with the first event, so that an attempt
            that fails before can still be answered with an error status.
        chunked: Whether to use the chunked transfer coding.
        discard_events: Whether to drop all events, because the answer is sent
            whole at the end.

    Attributes:
        fileno: File descriptor of the connection; -1 after ``detach``.
        head_sent: Whether the head has been sent.
        gone: Whether the caller has closed the connection.
        event_times_s: Monotonic times at which events arrived, seconds.
    """

    def __init__(
        self, fileno: int, *, head: bytes, chunked: bool, discard_events: bool
    ) -> None:
        self.fileno = fileno
        self.head_sent = False
        self.gone = False
        self.event_times_s = array.array("d")
        self._head = head
        self._chunked = chunked
        self._discard_events = discard_events
        self._pending = b""
        self._blocked_since_s = 0.0

    @property
    def stalled(self) -> bool:
        """Whether the caller has accepted no bytes for ``STALL_TIMEOUT_S``."""
        return (
            bool(self._pending)
            and time.monotonic() - self._blocked_since_s > STALL_TIMEOUT_S
        )

    @property
    def detached(self) -> bool:
        """Whether the caller has gone and further events are only kept."""
        return self.fileno < 0

    @property
    def has_pending(self) -> bool:
        """Whether bytes wait to be sent to the caller."""
        return bool(self._pending)

    @property
    def over_limit(self) -> bool:
        """Whether more than ``MAX_PENDING_BYTES`` wait to be sent."""
        return len(self._pending) > MAX_PENDING_BYTES

    def write(self, events: bytes) -> None:
        """Send events; keep the bytes that the socket does not accept now."""
        if not events:
            return
        self.event_times_s.append(time.monotonic())
        if self._discard_events or self.gone:
            return
        if self._chunked:
            events = b"%x\r\n%b\r\n" % (len(events), events)
        if not self.head_sent:
            self.head_sent = True
            events = self._head + events
        if self._pending:
            self._pending += events
            return
        self._send(events)

    def detach(self) -> None:
        """Drop all further events, since the caller has gone."""
        self.fileno = -1
        self.gone = False
        self._discard_events = True
        self._pending = b""

    def take_unsent(self) -> bytes:
        """Return and clear the unsent bytes, with the head if it is unsent."""
        unsent, self._pending = self._pending, b""
        if not self.head_sent:
            self.head_sent = True
            return self._head
        return unsent

    def flush(self) -> None:
        """Send the bytes that wait to be sent."""
        pending, self._pending = self._pending, b""
        if pending:
            self._send(pending)

    def _send(self, data: bytes) -> None:
        try:
            sent = os.write(self.fileno, data)
        except BlockingIOError:
            sent = 0
        except OSError:
            self.gone = True
            return
        if sent < len(data):
            self._pending = data[sent:]
            if sent or not self._blocked_since_s:
                self._blocked_since_s = time.monotonic()
