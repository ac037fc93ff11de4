"""One answer stream between a backend server and a caller."""

from __future__ import annotations

import os
import socket
from typing import TYPE_CHECKING

from jasminetally._router import response_reader
from jasminetally._router import stream_end
from jasminetally._router import stream_fault
from jasminetally._router import stream_progress

if TYPE_CHECKING:
    from jasminetally._router import caller_sink
    from jasminetally._router import event_filter

MAX_READ_BYTES = 65_536
# Statuses by which an engine rejects the request itself; other engines would
# reject it as well.
REQUEST_INVALID_STATUSES = (400, 413, 422)


class RelayedStream:
    """State of one attempt while the relay passes its events to the caller.

    Args:
        attempt: Id of the attempt.
        conn: Non-blocking connection to the backend server, with the request
            sent.
        event_filter: Filter of the attempt's events.
        sink: Writer to the caller.
        first_report: Number of the first progress report.
        resumed: Whether the stream was started by an earlier attempt.

    Attributes:
        attempt: Id of the attempt.
        conn: Connection to the backend server.
        fileno: File descriptor of the connection.
        event_filter: Filter of the attempt's events.
        sink: Writer to the caller.
        acknowledged: Whether the backend server has answered with status 200.
        reader: Reader of the HTTP response.
    """

    def __init__(
        self,
        attempt: str,
        conn: socket.socket,
        *,
        event_filter: event_filter.EventFilter,
        sink: caller_sink.CallerSink,
        first_report: int = 0,
        resumed: bool = False,
    ) -> None:
        self._resumed = resumed
        self.attempt = attempt
        self.conn = conn
        self.fileno = conn.fileno()
        self.event_filter = event_filter
        self.sink = sink
        self._next_report = first_report
        self._reported_events = event_filter.relayed_events
        self._first_event = event_filter.relayed_events
        self.acknowledged = False
        self.reader = response_reader.ResponseReader()
        self._error_body = b""

    @property
    def has_relayed(self) -> bool:
        """Whether this attempt has relayed an event."""
        return self.event_filter.relayed_events > self._first_event

    def take_progress(self) -> stream_progress.StreamProgress | None:
        """Return a report of the events relayed since the last one.

        Returns None if there is nothing to report. While the caller is too
        slow, the engine is not read from; reports without tokens then keep the
        dispatcher from treating the engine as silent.
        """
        tokens = self.event_filter.relayed_events - self._reported_events
        if tokens or (self.sink.over_limit and self.has_relayed):
            return self._make_report(tokens)
        return None

    def final_progress(self) -> stream_progress.StreamProgress:
        """Return the report of a complete answer."""
        tokens = self.event_filter.relayed_events - self._reported_events
        return self._make_report(tokens)._replace(last=True)

    def _make_report(self, tokens: int) -> stream_progress.StreamProgress:
        report = stream_progress.StreamProgress(
            self.attempt, self._next_report, tokens, False
        )
        self._next_report += 1
        self._reported_events += tokens
        return report

    def relay_available(self) -> stream_end.StreamEnd | None:
        """Relay the bytes that have arrived; return the end if reached."""
        try:
            data = os.read(self.fileno, MAX_READ_BYTES)
        except BlockingIOError:
            return None
        except OSError as exc:
            return self.make_end("RESET", str(exc))
        try:
            return self._relay_data(data)
        except stream_fault.StreamFaultError as exc:
            return self.make_end(exc.kind, str(exc))
        except ValueError as exc:
            return self.make_end("RESET", str(exc))

    def check_caller(self) -> stream_end.StreamEnd | None:
        """Return the end of the stream if the caller has disconnected."""
        try:
            caller = socket.socket(fileno=os.dup(self.sink.fileno))
        except OSError:
            return self.make_end(stream_end.CALLER_GONE)
        with caller:
            try:
                if caller.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT):
                    return None
            except BlockingIOError:
                return None
            except OSError:
                pass
        self.sink.gone = True
        return self.make_end(stream_end.CALLER_GONE)

    def make_end(self, kind: str, detail: str = "") -> stream_end.StreamEnd:
        """Return the end of this stream."""
        return stream_end.StreamEnd(self.attempt, kind, detail)

    def _relay_data(self, data: bytes) -> stream_end.StreamEnd | None:
        if not data:
            self.reader.finish()
        body = self.reader.feed(data) if data else b""
        if not self.acknowledged and self.reader.status:
            if self.reader.status != 200:
                return self._read_refusal(body)
            self.acknowledged = True
        if body:
            self.sink.write(self.event_filter.feed(body))
        if self.sink.gone:
            return self.make_end(stream_end.CALLER_GONE)
        if self.event_filter.done and (
            self.reader.complete or not self._chunked()
        ):
            return self.make_end(stream_end.FINISHED)
        if self.reader.complete:
            return self.make_end(
                "RESET",
                "the response ended before the last event of the stream",
            )
        return None

    def _chunked(self) -> bool:
        return "transfer-encoding" in self.reader.headers

    def _read_refusal(self, body: bytes) -> stream_end.StreamEnd | None:
        self._error_body += body
        if not self.reader.complete and len(self._error_body) < MAX_READ_BYTES:
            return None
        detail = f"status {self.reader.status}: {self._error_body[:200]!r}"
        if "x-not-run" in self.reader.headers:
            return self.make_end("REFUSED", detail)
        if self.reader.status in REQUEST_INVALID_STATUSES and not self._resumed:
            return self.make_end(stream_end.INVALID, detail)
        if self.reader.status < 500:
            return self.make_end("REFUSED", detail)
        # The request may have run. Unlike CRASHED, WRONG_ID does not make other
        # running requests crash suspects.
        return self.make_end("WRONG_ID", detail)
