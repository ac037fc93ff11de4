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

    from jasminetally._router import progress
    from jasminetally._router import relayed_stream

# With many open streams the loop pauses for this long between reads, so that
# one wake-up serves several streams. It delays an event by at most as much,
# which is small against the 28 ms between tokens.
PAUSE_S = 0.004
PAUSE_FROM_STREAMS = 16
# Progress of all streams is reported together at this interval, so that the
# dispatcher's actor is not woken for each chunk. Only the first chunk of an
# attempt is reported at once, since the time to it is measured.
REPORT_INTERVAL_S = 0.25


class StreamRelay:
    """Pass events from backend servers to callers in one thread.

    A thread for each stream would be woken for each chunk; one loop reads
    whatever has arrived on all of them.

    Args:
        on_progress: Takes progress reports in the relay's thread; must not
            block.
    """

    def __init__(
        self, on_progress: Callable[[list[progress.Progress]], None]
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
        """Begin to relay."""
        self._thread.start()

    def stop(self) -> None:
        """End the thread; streams that are open get the kind CANCELLED."""
        self._stopped = True
        self._wake()
        self._thread.join()

    def add(
        self,
        stream: relayed_stream.RelayedStream,
        on_accepted: Callable[[], None],
        on_end: Callable[[stream_end.StreamEnd], None],
    ) -> None:
        """Relay a stream.

        Args:
            stream: The stream; the relay owns both sockets until its end.
            on_accepted: Called in the relay's thread, once, when the backend
                server has accepted the request; must not block.
            on_end: Called in the relay's thread; must not block.
        """
        with self._lock:
            self._added.append((stream, on_accepted, on_end))
        self._wake()

    def cancel(self, attempt: str, kind: str = stream_end.CANCELLED) -> None:
        """End the relay of an attempt, if it is open."""
        with self._lock:
            self._cancelled.append((attempt, kind))
        self._wake()

    def _wake(self) -> None:
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
                self._serve(key, mask)
            self._take_calls()
            now_s = time.monotonic()
            if now_s >= next_report_s:
                next_report_s = now_s + REPORT_INTERVAL_S
                self._report()
            if len(self._open) >= PAUSE_FROM_STREAMS:
                time.sleep(PAUSE_S)
        for attempt in list(self._open):
            self._end(self._open[attempt][0].end(stream_end.CANCELLED))

    def _serve(self, key: selectors.SelectorKey, mask: int) -> None:
        stream, upstream = key.data
        if stream.attempt not in self._open:
            return
        try:
            if upstream:
                end = self._read(stream)
            else:
                end = self._serve_caller(stream, mask)
        except Exception as exc:
            logger.exception("relay: attempt {} failed", stream.attempt)
            end = stream.end("RESET", repr(exc))
        if end is not None:
            self._end(end)

    def _read(
        self, stream: relayed_stream.RelayedStream
    ) -> stream_end.StreamEnd | None:
        accepted = stream.accepted
        first = not stream.started
        end = stream.read()
        if stream.accepted and not accepted:
            self._open[stream.attempt][1]()
        if first and stream.started and end is None:
            self._on_progress([stream.progress()])
        if end is None and stream.sink.blocked:
            self._watch(stream)
        return end

    def _serve_caller(
        self, stream: relayed_stream.RelayedStream, mask: int
    ) -> stream_end.StreamEnd | None:
        if mask & selectors.EVENT_WRITE:
            stream.sink.flush()
            self._watch(stream)
            if stream.sink.gone:
                return stream.end(stream_end.CALLER_GONE)
        if not mask & selectors.EVENT_READ:
            return None
        end = stream.check_caller()
        if end is None:
            # The caller sent its next request early; it is read later.
            self._forget(stream.sink.fileno)
            if stream.sink.blocked:
                self._watch(stream)
        return end

    def _watch(self, stream: relayed_stream.RelayedStream) -> None:
        """Wait for the sides of a stream that can make progress."""
        self._set(
            stream.fileno,
            0 if stream.sink.full else selectors.EVENT_READ,
            (stream, True),
        )
        if stream.sink.fileno < 0:
            return
        wanted = selectors.EVENT_READ
        if stream.sink.blocked:
            wanted |= selectors.EVENT_WRITE
        self._set(stream.sink.fileno, wanted, (stream, False))

    def _set(self, fileno: int, wanted: int, data: tuple) -> None:
        known = self._selector.get_map().get(fileno)
        if not wanted:
            self._forget(fileno)
        elif known is None:
            self._selector.register(fileno, wanted, data)
        elif known.events != wanted:
            self._selector.modify(fileno, wanted, data)

    def _forget(self, fileno: int) -> None:
        if fileno >= 0 and fileno in self._selector.get_map():
            self._selector.unregister(fileno)

    def _take_calls(self) -> None:
        with self._lock:
            added, self._added = self._added, []
            cancelled, self._cancelled = self._cancelled, []
        for stream, on_accepted, on_end in added:
            self._open[stream.attempt] = (stream, on_accepted, on_end)
            self._watch(stream)
        for attempt, kind in cancelled:
            if attempt in self._open:
                self._end(self._open[attempt][0].end(kind))

    def _report(self) -> None:
        for stream, _, _ in list(self._open.values()):
            if stream.sink.stalled:
                self._end(stream.end(stream_end.CALLER_GONE, "stalled"))
        found = [stream.progress() for stream, _, _ in self._open.values()]
        reports = [report for report in found if report is not None]
        if reports:
            self._on_progress(reports)

    def _end(self, end: stream_end.StreamEnd) -> None:
        stream, _, on_end = self._open.pop(end.attempt)
        self._forget(stream.fileno)
        self._forget(stream.sink.fileno)
        on_end(end)
