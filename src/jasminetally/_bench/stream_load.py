"""Load generator of concurrent answer streams."""

from __future__ import annotations

import selectors
import socket
import time
from typing import NamedTuple

import httptools
import msgspec

CONTENT_EVENT_MARK = b'"finish_reason":null'
READ_BYTES = 65_536
IDLE_TIMEOUT_S = 20.0


class StreamTarget(NamedTuple):
    """Request of one stream.

    Attributes:
        address: ``ip:port``.
        headers: Additional request headers.
        body: JSON body.
    """

    address: str
    headers: dict[str, str]
    body: dict


class _Stream:
    """One open stream and the times of its events."""

    def __init__(self, target: StreamTarget) -> None:
        host, port = target.address.rsplit(":", 1)
        body = msgspec.json.encode(target.body)
        fields = {
            "Host": target.address,
            "Content-Length": str(len(body)),
            "Content-Type": "application/json",
            **target.headers,
        }
        head = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
        self.conn = socket.create_connection((host, int(port)), timeout=10)
        self.conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.started_s = time.monotonic()
        self.first_event_s = 0.0
        self.last_event_s = 0.0
        self.gaps_s: list[float] = []
        self.events = 0
        self.complete = False
        self.status = 0
        self._parser = httptools.HttpResponseParser(self)
        self._events_read = 0
        self.conn.sendall(
            f"POST /v1/chat/completions HTTP/1.1\r\n{head}\r\n".encode() + body
        )
        self.conn.setblocking(False)

    def read_available(self) -> bool:
        """Read the available data; return False at the end of the stream."""
        try:
            data = self.conn.recv(READ_BYTES)
        except BlockingIOError:
            return True
        except OSError:
            return False
        if not data:
            return False
        self._events_read = 0
        self._parser.feed_data(data)
        if self._events_read:
            self._record_events(time.monotonic())
        return not self.complete

    def on_headers_complete(self) -> None:
        """Store the status code (called by the parser)."""
        self.status = self._parser.get_status_code()

    def on_body(self, body: bytes) -> None:
        """Count content events (called by the parser)."""
        self._events_read += body.count(CONTENT_EVENT_MARK)

    def on_message_complete(self) -> None:
        """Mark the answer as complete (called by the parser)."""
        self.complete = True

    def _record_events(self, now_s: float) -> None:
        if self.events:
            self.gaps_s.append(now_s - self.last_event_s)
        else:
            self.first_event_s = now_s
        # Events read together count as gaps of zero after the first of them.
        self.gaps_s.extend([0.0] * (self._events_read - 1))
        self.events += self._events_read
        self.last_event_s = now_s


class LoadResult(NamedTuple):
    """Figures of one load.

    Attributes:
        gaps_s: Seconds between successive content events of all streams.
        first_token_s: Seconds to the first content event of each stream.
        events: Content events received.
        complete: Streams that ended with a complete answer and status 200.
        elapsed_s: Seconds from the first request to the last event.
    """

    gaps_s: list[float]
    first_token_s: list[float]
    events: int
    complete: int
    elapsed_s: float


def run_streams(
    targets: list[StreamTarget], *, start_spread_s: float
) -> LoadResult:
    """Open all streams, read them to their end and return the figures.

    Reading stops early if no data arrives for ``IDLE_TIMEOUT_S``.

    Args:
        targets: Request of each stream.
        start_spread_s: Seconds over which the requests are spread, so that
            the streams don't run in step.
    """
    started_s = time.monotonic()
    waiting = list(reversed(targets))
    streams: list[_Stream] = []
    open_count = 0
    idle_since_s = started_s
    with selectors.DefaultSelector() as selector:
        while waiting or open_count:
            now_s = time.monotonic()
            due_count = (
                int((now_s - started_s) / start_spread_s * len(targets)) + 1
            )
            while waiting and len(streams) < due_count:
                stream = _Stream(waiting.pop())
                streams.append(stream)
                open_count += 1
                selector.register(stream.conn, selectors.EVENT_READ, stream)
            ready = selector.select(0.005 if waiting else 1.0)
            for key, _ in ready:
                if not key.data.read_available():
                    selector.unregister(key.data.conn)
                    key.data.conn.close()
                    open_count -= 1
            if ready:
                idle_since_s = now_s
            elif now_s - idle_since_s > IDLE_TIMEOUT_S:
                break
    return _result(streams, started_s)


def _result(streams: list[_Stream], started_s: float) -> LoadResult:
    answered = [stream for stream in streams if stream.events]
    return LoadResult(
        gaps_s=[gap for stream in answered for gap in stream.gaps_s],
        first_token_s=[
            stream.first_event_s - stream.started_s for stream in answered
        ],
        events=sum(stream.events for stream in answered),
        complete=sum(
            stream.complete and stream.status == 200 for stream in streams
        ),
        elapsed_s=max((s.last_event_s for s in answered), default=started_s)
        - started_s,
    )
