"""Relay of one server's answer to a caller."""

from __future__ import annotations

from collections.abc import Callable

from jasminetally._forward import attempt_result
from jasminetally._forward import caller_connection
from jasminetally._forward import event_splitter
from jasminetally._forward import header_names
from jasminetally._forward import hop_by_hop
from jasminetally._forward import request_job
from jasminetally._forward import response_part
from jasminetally._forward import server_connection
from jasminetally._placing import server_record

# Answers up to this size are passed on once they are complete, so that a
# broken one can be repeated or reported as an error.
BUFFERED_RESPONSE_LIMIT_BYTES = 262_144
# Answers to earlier requests that are skipped on one connection.
STALE_RESPONSE_LIMIT = 3
EVENT_STREAM_TYPE = b"text/event-stream"


class ResponseRelay:
    """Read one server's answer and pass on what belongs to the caller.

    Args:
        job: The request.
        caller: Connection of the caller.
        server: Connection to the server.
        record: State of the server.
        names: Header names of the platform.
        on_first: Called at the first part that is passed on.
    """

    def __init__(
        self,
        job: request_job.RequestJob,
        caller: caller_connection.CallerConnection,
        server: server_connection.ServerConnection,
        record: server_record.ServerRecord,
        names: header_names.HeaderNames,
        on_first_part: Callable[[], None],
    ) -> None:
        self._on_first_part: Callable[[], None] | None = on_first_part
        self._job = job
        self._caller = caller
        self._server = server
        self._record = record
        self._names = names

    async def run(self) -> attempt_result.AttemptResult:
        """Relay the answer and return how it ended."""
        head = await self._read_head()
        if isinstance(head, response_part.ConnectionLost):
            return attempt_result.Broken(head.reason)
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
                f"answer {head.status} without signature or id"
            )
        self._job.may_have_run = True
        if self._job.request.method == b"HEAD":
            self._write_head(head, head.length)
            return attempt_result.Answered(head.status)
        if head.status < 300 and _is_event_stream(head):
            return await self._relay_events(head)
        return await self._relay_buffered(head)

    async def _next_part(self) -> response_part.ResponsePart:
        part = await self._server.next_part()
        self._record.on_response_part()
        return part

    async def _read_head(
        self,
    ) -> response_part.ResponseHead | response_part.ConnectionLost:
        """Return the head of the answer to this request, skipping strays."""
        wanted = self._job.request_id.encode("latin-1")
        for _ in range(STALE_RESPONSE_LIMIT + 1):
            part = await self._next_part()
            if isinstance(part, response_part.ConnectionLost):
                return part
            if not isinstance(part, response_part.ResponseHead):
                continue
            echoed = part.header_value(self._names.request_id)
            if echoed is None or echoed == wanted:
                return part
            skipped = await self._read_body(BUFFERED_RESPONSE_LIMIT_BYTES)
            if skipped is None:
                break
        return response_part.ConnectionLost("answers of other requests")

    async def _read_body(self, limit: int) -> bytes | None:
        """Return the rest of a body; None if it is broken or too long."""
        data = bytearray()
        while True:
            match await self._next_part():
                case response_part.BodyData(data=piece):
                    data += piece
                    if len(data) > limit:
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
                    if len(body) > BUFFERED_RESPONSE_LIMIT_BYTES:
                        return await self._relay_unbuffered(head, bytes(body))
                case response_part.ResponseEnd():
                    self._server.mark_response_complete()
                    break
                case part:
                    return _incomplete_result(part)
        if head.status >= 500 and not self._job.response_started:
            return attempt_result.Failed(head, bytes(body))
        self._report_first_part()
        write_buffered_response(self._job, self._caller, head, bytes(body))
        return attempt_result.Answered(head.status)

    async def _relay_unbuffered(
        self, head: response_part.ResponseHead, begun: bytes = b""
    ) -> attempt_result.AttemptResult:
        self._write_head(head, head.length)
        self._caller.write_body(begun)
        while True:
            match await self._next_part():
                case response_part.BodyData(data=piece):
                    self._caller.write_body(piece)
                    await self._caller.drain()
                case response_part.ResponseEnd():
                    self._server.mark_response_complete()
                    self._caller.finish_response()
                    return attempt_result.Answered(head.status)
                case part:
                    return _incomplete_result(part)

    async def _relay_events(
        self, head: response_part.ResponseHead
    ) -> attempt_result.AttemptResult:
        splitter = event_splitter.EventSplitter()
        while True:
            match await self._next_part():
                case response_part.BodyData(data=piece):
                    events = splitter.feed(piece)
                    if events:
                        self._write_new_events(head, events)
                        await self._caller.drain()
                case response_part.ResponseEnd():
                    self._server.mark_response_complete()
                    if splitter.remainder.strip():
                        return attempt_result.Broken("a cut event")
                    self._write_head(head, None)
                    self._caller.finish_response()
                    return attempt_result.Answered(head.status)
                case part:
                    return _incomplete_result(part)

    def _write_new_events(
        self,
        head: response_part.ResponseHead,
        events: list[event_splitter.StreamEvent],
    ) -> None:
        self._report_first_part()
        job = self._job
        self._write_head(head, None)
        fresh = [
            event
            for event in events
            if event.event_id is None
            or job.last_event_id is None
            or event.event_id > job.last_event_id
        ]
        for event in fresh:
            job.relayed_events += 1
            if event.event_id is not None:
                job.last_event_id = event.event_id
        self._caller.write_body(b"".join(event.data for event in fresh))

    def _report_first_part(self) -> None:
        if self._on_first_part is not None:
            self._on_first_part()
            self._on_first_part = None

    def _write_head(
        self, head: response_part.ResponseHead, length: int | None
    ) -> None:
        """Write the head unless an earlier attempt has."""
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
    """Pass on a complete answer."""
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
    """Return why an answer is not complete at a part that may not follow."""
    if isinstance(part, response_part.ConnectionLost):
        return attempt_result.Broken(part.reason)
    return attempt_result.Broken("two heads in one answer")


def _is_event_stream(head: response_part.ResponseHead) -> bool:
    kind = head.header_value(b"content-type") or b""
    return kind.lower().startswith(EVENT_STREAM_TYPE)
