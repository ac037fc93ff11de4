"""Incremental parser that splits a byte stream into server-sent events."""

from __future__ import annotations

from typing import NamedTuple

# An event ends with an empty line; lines end with LF or CRLF.
_EVENT_END_LF = b"\n\n"
_EVENT_END_CRLF = b"\r\n\r\n"


class StreamEvent(NamedTuple):
    """Complete event of an event stream.

    Attributes:
        data: Bytes of the event, including the empty line at its end.
        event_id: Numeric id of the event; None if the event has no id or the
            id is not a number.
    """

    data: bytes
    event_id: int | None


class EventSplitter:
    """Splits the bytes of an event stream into complete events.

    A server may fail in the middle of an event. Incomplete events are never
    relayed, so another server can resume after the last complete event.

    Attributes:
        remainder: Bytes received after the last complete event.
    """

    def __init__(self) -> None:
        self.remainder = b""

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Add bytes of the stream.

        Args:
            data: Next bytes of the stream, split anywhere.

        Returns:
            The events that these bytes complete, in order.
        """
        self.remainder += data
        events = []
        while True:
            end = self.remainder.find(_EVENT_END_LF)
            crlf = self.remainder.find(_EVENT_END_CRLF)
            if crlf >= 0 and (end < 0 or crlf < end):
                end = crlf + len(_EVENT_END_CRLF)
            elif end >= 0:
                end += len(_EVENT_END_LF)
            else:
                return events
            piece, self.remainder = self.remainder[:end], self.remainder[end:]
            events.append(StreamEvent(piece, _parse_event_id(piece)))


def _parse_event_id(piece: bytes) -> int | None:
    for line in piece.splitlines():
        if line.startswith(b"id:"):
            value = line[3:].strip()
            return int(value) if value.isdigit() else None
    return None
