"""Events of a stream out of bytes as they arrive."""

from __future__ import annotations

from typing import NamedTuple

# An event ends with an empty line.
_END = b"\n\n"
_END_CRLF = b"\r\n\r\n"


class StreamEvent(NamedTuple):
    """One complete event of a stream.

    Attributes:
        data: Its bytes with the empty line that ends it.
        number: Its id; None if it has none or it is not a number.
    """

    data: bytes
    number: int | None


class EventSplitter:
    """Collect bytes and return complete events.

    A server may stop in the middle of an event; the incomplete rest is never
    passed on, so that another server can go on after the last whole event.
    """

    def __init__(self) -> None:
        self.rest = b""

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Return the events that are complete with these bytes."""
        self.rest += data
        events = []
        while True:
            end = self.rest.find(_END)
            crlf = self.rest.find(_END_CRLF)
            if crlf >= 0 and (end < 0 or crlf < end):
                end = crlf + len(_END_CRLF)
            elif end >= 0:
                end += len(_END)
            else:
                return events
            piece, self.rest = self.rest[:end], self.rest[end:]
            events.append(StreamEvent(piece, _number(piece)))


def _number(piece: bytes) -> int | None:
    for line in piece.splitlines():
        if line.startswith(b"id:"):
            value = line[3:].strip()
            return int(value) if value.isdigit() else None
    return None
