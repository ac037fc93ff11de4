"""Attempts of one request at backend servers."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING

from loguru import logger

from jasminetally._router import event_filter
from jasminetally._router import relayed_stream
from jasminetally._router import stream_end
from jasminetally._router import stream_fault
from jasminetally._routing import events

if TYPE_CHECKING:
    from collections.abc import Callable
    import socket

    from jasminetally._router import caller_sink
    from jasminetally._router import router_parts
    from jasminetally._routing import effects

STOP_TIMEOUT_S = 5.0


class AttemptDriver:
    """Open, relay and close the attempts of one request, one at a time.

    Used by the request's thread; the relay calls back from its own.

    Args:
        parts: Parts of the router.
        request: Id that the caller sees.
        body: JSON body for the engine.
        sink: Writer to the caller.
        keep: Keep the events for the whole answer.
        post: Takes the end of each attempt; must not block.

    Attributes:
        events: Check of the current stream, with what it has seen.
        stream: Id of the current stream at its server; empty before.
    """

    def __init__(
        self,
        parts: router_parts.RouterParts,
        *,
        request: str,
        body: bytes,
        sink: caller_sink.CallerSink,
        keep: bool,
        post: Callable[[stream_end.StreamEnd], None],
    ) -> None:
        self.events: event_filter.EventFilter | None = None
        self.stream = ""
        self.sink = sink
        self._parts = parts
        self._request = request
        self._body = body
        self._keep = keep
        self._post = post
        self._stream: relayed_stream.RelayedStream | None = None
        self._address = ""
        self._ended = threading.Event()

    @property
    def open(self) -> bool:
        """Whether an attempt is being relayed."""
        return self._stream is not None

    def address(self, server: str) -> str | None:
        """Return the address of a backend server, or None."""
        manifest = self._parts.fleet.catalogue.manifest
        known = manifest.backend_servers.get(server)
        return None if known is None else known.address

    def start(self, effect: effects.StartAttempt, *, stream: str) -> None:
        """Send the request to a server, which keeps it as ``stream``."""
        self.stop()
        self.stream = stream
        self.events = event_filter.EventFilter(
            stream, self._request, keep=self._keep
        )
        self._open(
            effect.attempt,
            effect.server,
            lambda address: self._parts.backends.start_stream(
                address,
                stream,
                self._body,
                priority=effect.priority,
                fresh=effect.fresh_connection,
            ),
            first_report=0,
        )

    def resume(self, effect: effects.ResumeAttempt) -> None:
        """Continue a stream after the last event that was passed on."""
        self.stop()
        # A stream of another router has the id that the dispatcher knows.
        stream = self.stream = self.stream or effect.stream
        earlier = self.events
        self.events = event_filter.EventFilter(
            stream,
            self._request,
            keep=self._keep,
            passed=earlier.passed if earlier else 0,
        )
        if earlier:
            self.events.kept = earlier.kept
        from_index = self.events.passed
        logger.info(
            "route: resuming {} on {} at {}",
            stream,
            effect.server,
            from_index,
        )
        self._open(
            effect.attempt,
            effect.server,
            lambda address: self._parts.backends.resume_stream(
                address, stream, from_index=from_index
            ),
            first_report=effect.from_index,
            resumed=True,
        )

    def stop(self) -> None:
        """End the current attempt and wait until nothing more is passed on."""
        if self._stream is None:
            return
        self._parts.relay.cancel(self._stream.attempt)
        self._ended.wait(STOP_TIMEOUT_S)
        self._close(reusable=False)

    def take_end(self, end: stream_end.StreamEnd) -> bool:
        """Close what has ended; return False if it was an earlier attempt."""
        stream = self._stream
        if stream is None:
            # The connection could not be opened.
            return True
        if stream.attempt != end.attempt:
            return False
        if end.kind == stream_end.FINISHED:
            report = stream.last_progress()
            self._parts.dispatch.tell(
                events.ChunkReceived(
                    report.attempt,
                    report.attempt,
                    report.index,
                    report.tokens,
                    True,
                )
            )
        self._close(
            reusable=end.kind == stream_end.FINISHED and stream.reader.reusable
        )
        return True

    def go_on_without_caller(self, attempt: str) -> None:
        """Read a stream to its end although the caller has gone."""
        self.sink.detach()
        if self._stream is not None and self._stream.attempt == attempt:
            self._relay(self._stream)

    def _open(
        self,
        attempt: str,
        server: str,
        connect: Callable[[str], socket.socket],
        *,
        first_report: int,
        resumed: bool = False,
    ) -> None:
        address = self.address(server)
        if address is None:
            self._post(
                stream_end.StreamEnd(attempt, "CONNECT", "no such server")
            )
            return
        try:
            conn = connect(address)
        except stream_fault.StreamFaultError as exc:
            self._post(stream_end.StreamEnd(attempt, exc.kind, str(exc)))
            return
        self._address = address
        self._stream = relayed_stream.RelayedStream(
            attempt,
            conn,
            events=self.events,
            sink=self.sink,
            first_report=first_report,
            resumed=resumed,
        )
        self._relay(self._stream)

    def _relay(self, stream: relayed_stream.RelayedStream) -> None:
        self._ended.clear()
        dispatch = self._parts.dispatch

        def on_end(end: stream_end.StreamEnd) -> None:
            self._ended.set()
            self._post(end)

        self._parts.relay.add(
            stream,
            lambda: dispatch.tell(events.AttemptAcknowledged(stream.attempt)),
            on_end,
        )

    def _close(self, *, reusable: bool) -> None:
        stream, self._stream = self._stream, None
        if reusable:
            self._parts.backends.give_back(self._address, stream.conn)
        else:
            stream.conn.close()
