"""Streamed attempts of one request at engines."""

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
    from jasminetally._router import router_components
    from jasminetally._routing import effects

RELAY_STOP_TIMEOUT_S = 5.0


class AttemptDriver:
    """Open, relay and close the attempts of one request, one at a time.

    The methods are called by the thread of the request; the relay calls back
    from its own thread.

    Args:
        components: Components of the router.
        request_id: Id of the answer that the caller sees.
        body: JSON body for the engine.
        sink: Writer to the caller.
        keep_events: Whether to keep the relayed events, so that the whole
            answer can be assembled.
        post_end: Receives the end of each attempt; must not block.

    Attributes:
        event_filter: Filter of the current stream, with what it has relayed.
        stream: Id of the current stream at its engine; empty before the first
            attempt.
        sink: Writer to the caller.
    """

    def __init__(
        self,
        components: router_components.RouterComponents,
        *,
        request_id: str,
        body: bytes,
        sink: caller_sink.CallerSink,
        keep_events: bool,
        post_end: Callable[[stream_end.StreamEnd], None],
    ) -> None:
        self.event_filter: event_filter.EventFilter | None = None
        self.stream = ""
        self.sink = sink
        self._components = components
        self._request_id = request_id
        self._body = body
        self._keep_events = keep_events
        self._post_end = post_end
        self._stream: relayed_stream.RelayedStream | None = None
        self._address = ""
        self._relay_ended = threading.Event()

    @property
    def is_open(self) -> bool:
        """Whether an attempt is being relayed."""
        return self._stream is not None

    def find_address(self, server: str) -> str | None:
        """Return the address of a backend server, or None if it is unlisted."""
        manifest = self._components.fleet.config_lookup.manifest
        backend = manifest.backend_servers.get(server)
        return None if backend is None else backend.address

    def start(self, effect: effects.StartAttempt, *, stream: str) -> None:
        """Send the request; the server keeps the answer as ``stream``."""
        self.stop()
        self.stream = stream
        self.event_filter = event_filter.EventFilter(
            stream, self._request_id, keep_events=self._keep_events
        )
        self._open_stream(
            effect.attempt,
            effect.server,
            lambda address: self._components.backends.start_stream(
                address,
                stream,
                self._body,
                priority=effect.priority,
                fresh_connection=effect.fresh_connection,
            ),
            first_report=0,
        )

    def resume(self, effect: effects.ResumeAttempt) -> None:
        """Continue a stream after the last relayed event."""
        self.stop()
        # The stream may have been started by another router; the dispatcher
        # then knows its id from the claim.
        stream = self.stream = self.stream or effect.stream
        previous_filter = self.event_filter
        self.event_filter = event_filter.EventFilter(
            stream,
            self._request_id,
            keep_events=self._keep_events,
            relayed_events=previous_filter.relayed_events
            if previous_filter
            else 0,
        )
        if previous_filter:
            self.event_filter.kept_events = previous_filter.kept_events
        from_index = self.event_filter.relayed_events
        logger.info(
            "route: resuming stream {} on {} from event {}",
            stream,
            effect.server,
            from_index,
        )
        self._open_stream(
            effect.attempt,
            effect.server,
            lambda address: self._components.backends.resume_stream(
                address, stream, from_index=from_index
            ),
            first_report=effect.from_index,
            resumed=True,
        )

    def stop(self) -> None:
        """End the current attempt and wait until nothing more is relayed."""
        if self._stream is None:
            return
        self._components.relay.cancel_attempt(self._stream.attempt)
        self._relay_ended.wait(RELAY_STOP_TIMEOUT_S)
        self._close_stream(reusable=False)

    def handle_end(self, end: stream_end.StreamEnd) -> bool:
        """Close the attempt that has ended.

        Returns:
            Whether the end is that of the current attempt; False if it belongs
            to an earlier one.
        """
        stream = self._stream
        if stream is None:
            # The connection could not be opened.
            return True
        if stream.attempt != end.attempt:
            return False
        if end.kind == stream_end.FINISHED:
            report = stream.final_progress()
            self._components.dispatch.tell(
                events.ChunkReceived(
                    report.attempt,
                    report.attempt,
                    report.index,
                    report.tokens,
                    True,
                )
            )
        self._close_stream(
            reusable=end.kind == stream_end.FINISHED and stream.reader.reusable
        )
        return True

    def continue_without_caller(self, attempt: str) -> None:
        """Read a stream to its end although the caller has disconnected.

        A request that may not run again is completed, so that a retry gets its
        answer.
        """
        self.sink.detach()
        if self._stream is not None and self._stream.attempt == attempt:
            self._relay_stream(self._stream)

    def _open_stream(
        self,
        attempt: str,
        server: str,
        connect: Callable[[str], socket.socket],
        *,
        first_report: int,
        resumed: bool = False,
    ) -> None:
        address = self.find_address(server)
        if address is None:
            self._post_end(
                stream_end.StreamEnd(
                    attempt,
                    "CONNECT",
                    f"backend server {server} is not in the configuration",
                )
            )
            return
        try:
            conn = connect(address)
        except stream_fault.StreamFaultError as exc:
            self._post_end(stream_end.StreamEnd(attempt, exc.kind, str(exc)))
            return
        self._address = address
        self._stream = relayed_stream.RelayedStream(
            attempt,
            conn,
            event_filter=self.event_filter,
            sink=self.sink,
            first_report=first_report,
            resumed=resumed,
        )
        self._relay_stream(self._stream)

    def _relay_stream(self, stream: relayed_stream.RelayedStream) -> None:
        self._relay_ended.clear()
        dispatch = self._components.dispatch

        def on_end(end: stream_end.StreamEnd) -> None:
            self._relay_ended.set()
            self._post_end(end)

        self._components.relay.add_stream(
            stream,
            lambda: dispatch.tell(events.AttemptAcknowledged(stream.attempt)),
            on_end,
        )

    def _close_stream(self, *, reusable: bool) -> None:
        stream, self._stream = self._stream, None
        if reusable:
            self._components.backends.return_connection(
                self._address, stream.conn
            )
        else:
            stream.conn.close()
