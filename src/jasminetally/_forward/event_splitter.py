"""Incremental parser that splits a byte stream into server-sent events."""

from __future__ import annotations

import re
from typing import NamedTuple

from jasminetally._shared import whole_number

# An event ends with an empty line; lines end with LF, CRLF or CR. A CR after an
# LF may be the first half of a CRLF until the next byte has arrived.
_EVENT_END = re.compile(rb"\n(?:\r?\n|\r(?=[^\n]))|\r\r\n?")
# Empty lines before an event belong to it: they are no event by themselves.
_EVENT_START = re.compile(rb"[^\r\n]")
# Bytes before the end of those received in which the end of an event may start.
_EVENT_END_OVERLAP_BYTES = 3
# Longest event. Those of backend servers hold a few tokens; a faulty server may
# send an event without end.
EVENT_LIMIT_BYTES = 262_144


class StreamEvent(NamedTuple):
    """Complete event of an event stream.

    Attributes:
        data: Bytes of the event, including the empty line at its end.
        event_id: Numeric id of the event; None if the event has no id or the
            id is not a number of at most 18 digits.
    """

    data: bytes
    event_id: int | None

    @property
    def is_comment(self) -> bool:
        """Whether all lines are comments, which readers of a stream ignore."""
        lines = self.data.splitlines()
        return all(not line or line.startswith(b":") for line in lines)


class EventSplitter:
    """Splits the bytes of an event stream into complete events.

    A server may fail in the middle of an event. Incomplete events are never
    relayed, so another server can resume after the last complete event.
    """

    def __init__(self) -> None:
        self._buffer = bytearray()
        # Length of the start of the buffer that holds no end of an event.
        self._searched_bytes = 0
        # Whether the buffer holds more than empty lines.
        self._begun = False

    @property
    def limit_exceeded(self) -> bool:
        """Whether the event that has begun is longer than allowed."""
        return len(self._buffer) > EVENT_LIMIT_BYTES

    @property
    def remainder(self) -> bytes:
        """Bytes received after the last complete event."""
        return bytes(self._buffer)

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Add bytes of the stream.

        Args:
            data: Next bytes of the stream, split anywhere.

        Returns:
            The events that these bytes complete, in order.
        """
        self._buffer += data
        events = []
        start = 0
        search_from = self._searched_bytes
        while True:
            if not self._begun:
                begin = _EVENT_START.search(self._buffer, search_from)
                if begin is None:
                    searched_bytes = len(self._buffer)
                    break
                self._begun = True
                search_from = begin.start()
            end = _EVENT_END.search(self._buffer, search_from)
            if end is None:
                searched_bytes = max(
                    search_from, len(self._buffer) - _EVENT_END_OVERLAP_BYTES
                )
                break
            piece = bytes(self._buffer[start : end.end()])
            events.append(StreamEvent(piece, _parse_event_id(piece)))
            start = search_from = end.end()
            self._begun = False
        del self._buffer[:start]
        self._searched_bytes = searched_bytes - start
        return events


def _parse_event_id(piece: bytes) -> int | None:
    # Of several ids, readers of a stream take the last.
    for line in reversed(piece.splitlines()):
        if line.startswith(b"id:"):
            return whole_number.parse(line[3:].strip())
    return None
