"""Relay of a backend server's response to a caller."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import time

from jasminetally._forward import attempt_result
from jasminetally._forward import caller_connection
from jasminetally._forward import event_splitter
from jasminetally._forward import header_names
from jasminetally._forward import hop_by_hop
from jasminetally._forward import request_job
from jasminetally._forward import response_part
from jasminetally._forward import server_connection
from jasminetally._placing import server_record

# Responses up to this size are buffered and relayed once they are complete, so
# that a broken one can be retried or reported as an error.
BUFFERED_RESPONSE_LIMIT_BYTES = 262_144
# Bytes of events that are handled before other tasks get their turn: a faulty
# server may send thousands of tiny events at a time.
EVENTS_SLICE_BYTES = 16_384
# Bytes of a resumable stream without a new event id. Its events are numbered,
# and a faulty server may send comments or the same event without end.
NO_PROGRESS_LIMIT_BYTES = 65_536
# Number of responses to earlier requests that are skipped on a connection
# before it is given up.
STALE_RESPONSE_LIMIT = 3
EVENT_STREAM_TYPE = b"text/event-stream"


class ResponseRelay:
    """Reads a backend server's response and relays it to the caller.

    Short responses are relayed once they are complete, longer ones as they
    arrive, and event streams event by event. When a retry resumes a stream,
    events that the caller already has are skipped.

    Args:
        job: The request.
        caller: Connection of the caller.
        server: Connection to the server.
        record: Record of the server.
        names: Header names of the platform.
        on_head: Called with the head of each response of the server, and
            whether it responds to this request.
        on_first_part: Called once, before the first event of a stream or a
            buffered response is relayed.
        has_ended: Returns whether the process of the server has ended.
    """

    def __init__(
        self,
        job: request_job.RequestJob,
        caller: caller_connection.CallerConnection,
        server: server_connection.ServerConnection,
        record: server_record.ServerRecord,
        names: header_names.HeaderNames,
        *,
        on_head: Callable[[response_part.ResponseHead, bool], None],
        on_first_part: Callable[[], None],
        has_ended: Callable[[], Awaitable[bool]],
    ) -> None:
        self._on_head = on_head
        self._has_ended = has_ended
        self._on_first_part: Callable[[], None] | None = on_first_part
        self._job = job
        self._caller = caller
        self._server = server
        self._record = record
        self._names = names
        # Id of the last event that an earlier attempt has brought.
        self._resumed_after = job.last_event_id
        # Of the events of this attempt.
        self._highest_event_id = -1
        self._skipping = False
        self._bytes_without_progress = 0
        self._collected_bytes = 0
        caller.count_answer = self._count_answer

    async def run(self) -> attempt_result.AttemptResult:
        """Relay the response and return the result of the attempt."""
        head = await self._read_head()
        if isinstance(head, response_part.ConnectionLost):
            return _incomplete_result(head)
        if not self._is_certainly_own(head):
            return attempt_result.Broken(
                f"response with status {head.status} on a kept connection "
                "lacks the request id, and may be one to an earlier request"
            )
        if (
            head.status == 421
            or head.header_value(self._names.not_run) is not None
        ):
            if await self._read_body(BUFFERED_RESPONSE_LIMIT_BYTES) is not None:
                self._server.mark_response_complete()
            return attempt_result.Refused(head.status)
        signed = head.header_value(self._names.signature) is not None
        if not signed or (
            head.status < 300
            and head.header_value(self._names.request_id) is None
        ):
            return attempt_result.Broken(
                f"response with status {head.status} lacks the server's "
                "signature or the request id"
            )
        self._job.may_have_run = True
        if self._job.response_started and not (
            head.status == 200 and _is_event_stream(head)
        ):
            return attempt_result.Broken(
                "instead of going on with the stream, the server responded "
                f"with status {head.status}"
            )
        if self._job.request.method == b"HEAD":
            self._write_head(head, head.length)
            return attempt_result.Answered(head.status)
        if head.status < 300 and _is_event_stream(head):
            return await self._relay_events(head)
        return await self._relay_buffered(head)

    def _count_answer(self) -> int:
        """Return the bytes of the response that wait to be written."""
        return self._collected_bytes + self._server.buffered_bytes

    async def _next_part(self) -> response_part.ResponsePart:
        part = await self._server.next_part()
        self._record.on_response_part()
        if not isinstance(part, response_part.ConnectionLost):
            self._record.last_response_s = time.monotonic()
        return part

    async def _read_head(
        self,
    ) -> response_part.ResponseHead | response_part.ConnectionLost:
        """Return the head of the response to this request.

        Responses that echo the id of another request belong to earlier
        requests on the connection and are skipped.
        """
        request_id = self._job.request_id.encode("latin-1")
        for _ in range(STALE_RESPONSE_LIMIT + 1):
            part = await self._next_part()
            if isinstance(part, response_part.ConnectionLost):
                return part
            if not isinstance(part, response_part.ResponseHead):
                continue
            echoed_id = part.header_value(self._names.request_id)
            self._on_head(part, self._is_certainly_own(part))
            if echoed_id is None or echoed_id == request_id:
                return part
            skipped_body = await self._read_body(BUFFERED_RESPONSE_LIMIT_BYTES)
            if skipped_body is None:
                break
        return response_part.ConnectionLost(
            "received only responses to earlier requests"
        )

    def _is_certainly_own(self, head: response_part.ResponseHead) -> bool:
        """Return whether a response can't be one to an earlier request.

        Without a request id this is so only on an unused connection.
        """
        echoed_id = head.header_value(self._names.request_id)
        if echoed_id is None:
            return not self._server.used
        return echoed_id == self._job.request_id.encode("latin-1")

    async def _read_body(self, limit_bytes: int) -> bytes | None:
        """Return the rest of a body; None if it is incomplete or too long."""
        data = bytearray()
        while True:
            match await self._next_part():
                case response_part.BodyData(data=piece):
                    data += piece
                    if len(data) > limit_bytes:
                        return None
                case response_part.ResponseEnd():
                    return bytes(data)
                case _:
                    return None

    async def _relay_buffered(
        self, head: response_part.ResponseHead
    ) -> attempt_result.AttemptResult:
        if (
            head.length is not None
            and head.length > BUFFERED_RESPONSE_LIMIT_BYTES
        ):
            return await self._relay_unbuffered(head)
        body = bytearray()
        while True:
            match await self._next_part():
                case response_part.BodyData(data=piece):
                    body += piece
                    self._collected_bytes = len(body)
                    if self._should_relay_now(head, body):
                        return await self._relay_unbuffered(head, bytes(body))
                case response_part.ResponseEnd():
                    self._server.mark_response_complete()
                    break
                case part:
                    return _incomplete_result(part)
        if await self._ended_with_process(head):
            return _ended_with_process_result("response")
        if head.status >= 500:
            return attempt_result.Failed(head, bytes(body))
        self._report_first_part()
        write_buffered_response(self._job, self._caller, head, bytes(body))
        return attempt_result.Answered(head.status)

    def _should_relay_now(
        self, head: response_part.ResponseHead, body: bytearray
    ) -> bool:
        """Return whether to relay a response before it is complete.

        Args:
            head: Head of the response.
            body: What has arrived of its body.
        """
        if len(body) > BUFFERED_RESPONSE_LIMIT_BYTES:
            return True
        return head.status < 500 and self._caller.memory_short

    async def _relay_unbuffered(
        self, head: response_part.ResponseHead, received: bytes = b""
    ) -> attempt_result.AttemptResult:
        self._collected_bytes = 0
        self._write_head(head, head.length)
        self._caller.write_body(received)
        while True:
            match await self._next_part():
                case response_part.BodyData(data=piece):
                    self._caller.write_body(piece)
                    await self._caller.drain()
                case response_part.ResponseEnd():
                    self._server.mark_response_complete()
                    if await self._ended_with_process(head):
                        return _ended_with_process_result("response")
                    self._caller.finish_response()
                    return attempt_result.Answered(head.status)
                case part:
                    return _incomplete_result(part)

    async def _relay_events(
        self, head: response_part.ResponseHead
    ) -> attempt_result.AttemptResult:
        splitter = event_splitter.EventSplitter()
        # Only the id of an event shows that a stream goes on with it.
        goes_on = not self._job.response_started
        events_before = self._job.relayed_events
        while True:
            match await self._next_part():
                case response_part.BodyData(data=piece):
                    for start in range(0, len(piece), EVENTS_SLICE_BYTES):
                        if start:
                            await asyncio.sleep(0)
                        events = splitter.feed(
                            piece[start : start + EVENTS_SLICE_BYTES]
                        )
                        if not goes_on:
                            events = self._drop_comments(events)
                        if events and not goes_on:
                            if events[0].event_id is None:
                                return attempt_result.Broken(
                                    "the stream goes on with an event without "
                                    "id"
                                )
                            goes_on = True
                        rising = self._take_rising(events)
                        if rising:
                            self._write_new_events(head, rising)
                            await self._caller.drain()
                        if len(rising) < len(events):
                            return attempt_result.Broken(
                                "the ids of the stream's events don't rise"
                            )
                        excess = self._find_excess(splitter)
                        if excess is not None:
                            return attempt_result.Broken(excess)
                case response_part.ResponseEnd():
                    self._server.mark_response_complete()
                    close_delimited = _is_close_delimited(head)
                    if splitter.remainder.strip():
                        return attempt_result.Broken(
                            "the event stream ended in the middle of an event",
                            closed_by_server=close_delimited,
                        )
                    if (
                        close_delimited
                        and self._job.relayed_events == events_before
                    ):
                        return attempt_result.Broken(
                            "the event stream ended with its connection "
                            "before the first new event",
                            closed_by_server=True,
                        )
                    if await self._ended_with_process(head):
                        return _ended_with_process_result("event stream")
                    self._write_head(head, None)
                    self._caller.write_body(splitter.remainder)
                    self._caller.finish_response()
                    return attempt_result.Answered(head.status)
                case part:
                    return _incomplete_result(part)

    async def _ended_with_process(
        self, head: response_part.ResponseHead
    ) -> bool:
        """Return whether the process of the server may have cut the response.

        The operating system ends the connections of a process that has ended
        like the process itself ends a response without a length.
        """
        return _is_close_delimited(head) and await self._has_ended()

    def _drop_comments(
        self, events: list[event_splitter.StreamEvent]
    ) -> list[event_splitter.StreamEvent]:
        """Return the events from the first that is no comment.

        A server may send comments while it reads the prompt.

        Args:
            events: Events that have just been completed.
        """
        for number, event in enumerate(events):
            if not event.is_comment:
                return events[number:]
            self._bytes_without_progress += len(event.data)
        return []

    def _take_rising(
        self, events: list[event_splitter.StreamEvent]
    ) -> list[event_splitter.StreamEvent]:
        """Return the events before the first whose id doesn't rise.

        Where a stream may be resumed, the id tells which events the caller
        has. Other streams are relayed as they are.

        Args:
            events: Events that have just been completed.
        """
        if not self._job.route.resumable:
            return events
        for number, event in enumerate(events):
            if event.event_id is None:
                self._bytes_without_progress += len(event.data)
            elif event.event_id > self._highest_event_id:
                self._highest_event_id = event.event_id
                self._bytes_without_progress = 0
            else:
                return events[:number]
        return events

    def _find_excess(
        self, splitter: event_splitter.EventSplitter
    ) -> str | None:
        """Return why a stream seems to have no end; None if it doesn't.

        Args:
            splitter: Holds the event that has begun.
        """
        if splitter.limit_exceeded:
            return (
                "the event stream has an event of more than "
                f"{event_splitter.EVENT_LIMIT_BYTES} bytes"
            )
        if self._bytes_without_progress > NO_PROGRESS_LIMIT_BYTES:
            return (
                f"the event stream has {NO_PROGRESS_LIMIT_BYTES} bytes without "
                "a new event id"
            )
        return None

    def _write_new_events(
        self,
        head: response_part.ResponseHead,
        events: list[event_splitter.StreamEvent],
    ) -> None:
        self._report_first_part()
        job = self._job
        self._write_head(head, None)
        new_events = [event for event in events if self._is_new(event)]
        for event in new_events:
            job.relayed_events += 1
            if event.event_id is not None and job.route.resumable:
                job.last_event_id = event.event_id
        self._caller.write_body(b"".join(event.data for event in new_events))

    def _is_new(self, event: event_splitter.StreamEvent) -> bool:
        """Return whether the caller doesn't have an event of this attempt.

        An event without id goes with the one before it.
        """
        if event.event_id is not None and self._resumed_after is not None:
            self._skipping = event.event_id <= self._resumed_after
        return not self._skipping

    def _report_first_part(self) -> None:
        if self._on_first_part is not None:
            self._on_first_part()
            self._on_first_part = None

    def _write_head(
        self, head: response_part.ResponseHead, length: int | None
    ) -> None:
        """Write the head of the response unless an earlier attempt did."""
        if self._job.response_started:
            return
        self._job.response_started = True
        self._caller.write_head(
            head.status,
            hop_by_hop.end_to_end_headers(head.headers),
            length=length,
        )


def write_buffered_response(
    job: request_job.RequestJob,
    caller: caller_connection.CallerConnection,
    head: response_part.ResponseHead,
    body: bytes,
) -> None:
    """Write a complete response to the caller."""
    job.response_started = True
    caller.write_head(
        head.status,
        hop_by_hop.end_to_end_headers(head.headers),
        length=len(body),
    )
    caller.write_body(body)
    caller.finish_response()


def _incomplete_result(
    part: response_part.ConnectionLost | response_part.ResponseHead,
) -> attempt_result.Broken:
    """Return the result for a response that ends with an unexpected part."""
    if isinstance(part, response_part.ConnectionLost):
        return attempt_result.Broken(part.reason, part.closed_by_server)
    return attempt_result.Broken(
        "a second response head arrived before the end of the first response"
    )


def _ended_with_process_result(what: str) -> attempt_result.Broken:
    """Return the result for a response that the end of a process may have cut.

    Args:
        what: Kind of the response.
    """
    return attempt_result.Broken(
        f"the {what} ended with its connection, and the server's process has "
        "ended",
        closed_by_server=True,
    )


def _is_close_delimited(head: response_part.ResponseHead) -> bool:
    """Return whether the end of the connection ends the response."""
    return (
        head.length is None and head.header_value(b"transfer-encoding") is None
    )


def _is_event_stream(head: response_part.ResponseHead) -> bool:
    content_type = head.header_value(b"content-type") or b""
    return content_type.lower().startswith(EVENT_STREAM_TYPE)
