"""Relay of all open answer streams of a router."""

from __future__ import annotations

import os
import selectors
import threading
import time
from typing import TYPE_CHECKING

from loguru import logger

from jasminetally._router import stream_end

if TYPE_CHECKING:
    from collections.abc import Callable

    from jasminetally._router import relayed_stream
    from jasminetally._router import stream_progress

# With many open streams the loop pauses this long between reads, so that one
# wake-up serves several streams. It delays an event by at most this time, which
# is small against the 28 ms between tokens.
BATCHING_PAUSE_S = 0.004
BATCHING_MIN_STREAMS = 16
# Progress of all streams is reported together at this interval, so that the
# dispatch actor is not woken for each chunk. Only the first chunk of an attempt
# is reported at once, since the time to the first token is measured.
REPORT_INTERVAL_S = 0.25


class StreamRelay:
    """Relay events from backend servers to callers in one thread.

    A thread per stream would be woken for each chunk; one loop reads whatever
    has arrived on all streams.

    Args:
        on_progress: Receives progress reports in the relay's thread; must not
            block.
    """

    def __init__(
        self,
        on_progress: Callable[[list[stream_progress.StreamProgress]], None],
    ) -> None:
        self._on_progress = on_progress
        self._selector = selectors.DefaultSelector()
        self._wake_read, self._wake_write = os.pipe()
        os.set_blocking(self._wake_read, False)
        self._selector.register(self._wake_read, selectors.EVENT_READ, None)
        self._lock = threading.Lock()
        self._added: list[tuple] = []
        self._cancelled: list[tuple[str, str]] = []
        self._open: dict[str, tuple] = {}
        self._stopped = False
        self._thread = threading.Thread(
            target=self._run, name="relay", daemon=True
        )

    @property
    def open_streams(self) -> int:
        """Number of streams that are being relayed."""
        return len(self._open)

    def start(self) -> None:
        """Start the relay's thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the relay's thread; open streams end with the kind CANCELLED."""
        self._stopped = True
        self._wake_up()
        self._thread.join()

    def add_stream(
        self,
        stream: relayed_stream.RelayedStream,
        on_acknowledged: Callable[[], None],
        on_end: Callable[[stream_end.StreamEnd], None],
    ) -> None:
        """Relay a stream.

        Args:
            stream: Stream; the relay uses both of its sockets until its end.
            on_acknowledged: Called in the relay's thread, once, when the
                backend server has acknowledged the request; must not block.
            on_end: Called in the relay's thread with the end of the stream;
                must not block.
        """
        with self._lock:
            self._added.append((stream, on_acknowledged, on_end))
        self._wake_up()

    def cancel_attempt(
        self, attempt: str, kind: str = stream_end.CANCELLED
    ) -> None:
        """End the relay of an attempt, if it is open."""
        with self._lock:
            self._cancelled.append((attempt, kind))
        self._wake_up()

    def _wake_up(self) -> None:
        os.write(self._wake_write, b"w")

    def _run(self) -> None:
        next_report_s = 0.0
        while not self._stopped:
            ready = self._selector.select(
                REPORT_INTERVAL_S if self._open else None
            )
            for key, mask in ready:
                if key.data is None:
                    os.read(self._wake_read, 4096)
                    continue
                self._handle_ready(key, mask)
            self._apply_pending_calls()
            now_s = time.monotonic()
            if now_s >= next_report_s:
                next_report_s = now_s + REPORT_INTERVAL_S
                self._report_progress()
            if len(self._open) >= BATCHING_MIN_STREAMS:
                time.sleep(BATCHING_PAUSE_S)
        for attempt in list(self._open):
            self._end_stream(
                self._open[attempt][0].make_end(stream_end.CANCELLED)
            )

    def _handle_ready(self, key: selectors.SelectorKey, mask: int) -> None:
        stream, upstream = key.data
        if stream.attempt not in self._open:
            return
        try:
            if upstream:
                end = self._relay_available(stream)
            else:
                end = self._handle_caller_ready(stream, mask)
        except Exception as exc:
            logger.exception(
                "relay: attempt {} failed with an unexpected error",
                stream.attempt,
            )
            end = stream.make_end("RESET", repr(exc))
        if end is not None:
            self._end_stream(end)

    def _relay_available(
        self, stream: relayed_stream.RelayedStream
    ) -> stream_end.StreamEnd | None:
        was_acknowledged = stream.acknowledged
        was_silent = not stream.has_relayed
        end = stream.relay_available()
        if stream.acknowledged and not was_acknowledged:
            self._open[stream.attempt][1]()
        if was_silent and stream.has_relayed and end is None:
            self._on_progress([stream.take_progress()])
        if end is None and stream.sink.has_pending:
            self._update_registrations(stream)
        return end

    def _handle_caller_ready(
        self, stream: relayed_stream.RelayedStream, mask: int
    ) -> stream_end.StreamEnd | None:
        if mask & selectors.EVENT_WRITE:
            stream.sink.flush()
            self._update_registrations(stream)
            if stream.sink.gone:
                return stream.make_end(stream_end.CALLER_GONE)
        if not mask & selectors.EVENT_READ:
            return None
        end = stream.check_caller()
        if end is None:
            # The caller has already sent its next request, which is read after
            # the answer. The socket stays readable until then, so it is
            # unregistered.
            self._unregister(stream.sink.fileno)
            if stream.sink.has_pending:
                self._update_registrations(stream)
        return end

    def _update_registrations(
        self, stream: relayed_stream.RelayedStream
    ) -> None:
        """Register the sockets of a stream that can make progress."""
        self._register_events(
            stream.fileno,
            0 if stream.sink.over_limit else selectors.EVENT_READ,
            (stream, True),
        )
        if stream.sink.fileno < 0:
            return
        selected_events = selectors.EVENT_READ
        if stream.sink.has_pending:
            selected_events |= selectors.EVENT_WRITE
        self._register_events(
            stream.sink.fileno, selected_events, (stream, False)
        )

    def _register_events(
        self, fileno: int, selected_events: int, data: tuple
    ) -> None:
        registered = self._selector.get_map().get(fileno)
        if not selected_events:
            self._unregister(fileno)
        elif registered is None:
            self._selector.register(fileno, selected_events, data)
        elif registered.events != selected_events:
            self._selector.modify(fileno, selected_events, data)

    def _unregister(self, fileno: int) -> None:
        if fileno >= 0 and fileno in self._selector.get_map():
            self._selector.unregister(fileno)

    def _apply_pending_calls(self) -> None:
        with self._lock:
            added, self._added = self._added, []
            cancelled, self._cancelled = self._cancelled, []
        for stream, on_acknowledged, on_end in added:
            self._open[stream.attempt] = (stream, on_acknowledged, on_end)
            self._update_registrations(stream)
        for attempt, kind in cancelled:
            if attempt in self._open:
                self._end_stream(self._open[attempt][0].make_end(kind))

    def _report_progress(self) -> None:
        for stream, _, _ in list(self._open.values()):
            if stream.sink.stalled:
                self._end_stream(
                    stream.make_end(stream_end.CALLER_GONE, "stalled")
                )
        progress_reports = [
            stream.take_progress() for stream, _, _ in self._open.values()
        ]
        reports = [report for report in progress_reports if report is not None]
        if reports:
            self._on_progress(reports)

    def _end_stream(self, end: stream_end.StreamEnd) -> None:
        stream, _, on_end = self._open.pop(end.attempt)
        self._unregister(stream.fileno)
        self._unregister(stream.sink.fileno)
        on_end(end)
