"""One stream between a backend server and a caller."""

from __future__ import annotations

import os
import socket
from typing import TYPE_CHECKING

from jasminetally._router import progress
from jasminetally._router import response_reader
from jasminetally._router import stream_end
from jasminetally._router import stream_fault

if TYPE_CHECKING:
    from jasminetally._router import caller_sink
    from jasminetally._router import event_filter

READ_BYTES = 65_536
# The engine found a fault in the request, which others would find as well.
INVALID_STATUS = (400, 413, 422)


class RelayedStream:
    """State of one attempt while the relay passes its events on.

    Args:
        attempt: Id of the attempt.
        conn: Connection to the backend server, with the request sent; in
            non-blocking mode.
        events: Check of the attempt's events.
        sink: Writer to the caller.
        first_report: Number of the first progress report.
        resumed: Whether the stream was started by an earlier attempt.

    Attributes:
        accepted: The backend server has answered with status 200.
    """

    def __init__(
        self,
        attempt: str,
        conn: socket.socket,
        *,
        events: event_filter.EventFilter,
        sink: caller_sink.CallerSink,
        first_report: int = 0,
        resumed: bool = False,
    ) -> None:
        self._resumed = resumed
        self.attempt = attempt
        self.conn = conn
        self.fileno = conn.fileno()
        self.events = events
        self.sink = sink
        self._reports = first_report
        self._reported = events.passed
        self._first = events.passed
        self.accepted = False
        self.reader = response_reader.ResponseReader()
        self._error_body = b""

    @property
    def started(self) -> bool:
        """Whether an event has been passed on by this attempt."""
        return self.events.passed > self._first

    def progress(self) -> progress.Progress | None:
        """Return a report of the events passed on since the last one.

        While the caller is too slow, reports without tokens keep the engine,
        which is not read from, from being taken for silent.
        """
        tokens = self.events.passed - self._reported
        if tokens or (self.sink.full and self.started):
            return self._report(tokens)
        return None

    def last_progress(self) -> progress.Progress:
        """Return the report that ends the answer."""
        tokens = self.events.passed - self._reported
        return self._report(tokens)._replace(last=True)

    def _report(self, tokens: int) -> progress.Progress:
        report = progress.Progress(self.attempt, self._reports, tokens, False)
        self._reports += 1
        self._reported += tokens
        return report

    def read(self) -> stream_end.StreamEnd | None:
        """Pass on what has arrived; return the end if this was it."""
        try:
            data = os.read(self.fileno, READ_BYTES)
        except BlockingIOError:
            return None
        except OSError as exc:
            return self.end("RESET", str(exc))
        try:
            return self._take(data)
        except stream_fault.StreamFaultError as exc:
            return self.end(exc.kind, str(exc))
        except ValueError as exc:
            return self.end("RESET", str(exc))

    def check_caller(self) -> stream_end.StreamEnd | None:
        """Return the end if the caller has closed its connection."""
        try:
            caller = socket.socket(fileno=os.dup(self.sink.fileno))
        except OSError:
            return self.end(stream_end.CALLER_GONE)
        with caller:
            try:
                if caller.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT):
                    return None
            except BlockingIOError:
                return None
            except OSError:
                pass
        self.sink.gone = True
        return self.end(stream_end.CALLER_GONE)

    def end(self, kind: str, detail: str = "") -> stream_end.StreamEnd:
        """Return the end of this stream."""
        return stream_end.StreamEnd(self.attempt, kind, detail)

    def _take(self, data: bytes) -> stream_end.StreamEnd | None:
        if not data:
            self.reader.finish()
        body = self.reader.feed(data) if data else b""
        if not self.accepted and self.reader.status:
            if self.reader.status != 200:
                return self._take_refusal(body)
            self.accepted = True
        if body:
            self.sink.write(self.events.feed(body))
        if self.sink.gone:
            return self.end(stream_end.CALLER_GONE)
        if self.events.done and (self.reader.complete or not self._chunked()):
            return self.end(stream_end.FINISHED)
        if self.reader.complete:
            return self.end("RESET", "the stream ended without its last event")
        return None

    def _chunked(self) -> bool:
        return "transfer-encoding" in self.reader.headers

    def _take_refusal(self, body: bytes) -> stream_end.StreamEnd | None:
        self._error_body += body
        if not self.reader.complete and len(self._error_body) < READ_BYTES:
            return None
        detail = f"status {self.reader.status}: {self._error_body[:200]!r}"
        if "x-not-run" in self.reader.headers:
            return self.end("REFUSED", detail)
        if self.reader.status in INVALID_STATUS and not self._resumed:
            return self.end(stream_end.INVALID, detail)
        if self.reader.status < 500:
            return self.end("REFUSED", detail)
        # It may have run. WRONG_ID, unlike CRASHED, blames no other request.
        return self.end("WRONG_ID", detail)
