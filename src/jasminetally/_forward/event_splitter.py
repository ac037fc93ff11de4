"""Events of a stream out of bytes as they arrive."""

from __future__ import annotations

from typing import NamedTuple

# An event ends with an empty line.
_EVENT_END_LF = b"\n\n"
_EVENT_END_CRLF = b"\r\n\r\n"


class StreamEvent(NamedTuple):
    """One complete event of a stream.

    Attributes:
        data: Its bytes with the empty line that ends it.
        event_id: Its id; None if it has none or it is not a number.
    """

    data: bytes
    event_id: int | None


class EventSplitter:
    """Collect bytes and return complete events.

    A server may stop in the middle of an event; the incomplete rest is never
    passed on, so that another server can go on after the last whole event.
    """

    def __init__(self) -> None:
        self.remainder = b""

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Return the events that are complete with these bytes."""
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
