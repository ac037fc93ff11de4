"""Relay of one server's answer to a caller."""

from __future__ import annotations

from collections.abc import Callable

from jasminetally._forward import attempt_result
from jasminetally._forward import caller_connection
from jasminetally._forward import event_splitter
from jasminetally._forward import header_names
from jasminetally._forward import hop_headers
from jasminetally._forward import request_job
from jasminetally._forward import response_part
from jasminetally._forward import server_connection
from jasminetally._placing import server_record

# Answers up to this size are passed on once they are complete, so that a
# broken one can be repeated or reported as an error.
WHOLE_ANSWER_LIMIT_BYTES = 262_144
# Answers to earlier requests that are skipped on one connection.
STRAY_ANSWER_LIMIT = 3
EVENT_STREAM = b"text/event-stream"


class AnswerRelay:
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
        on_first: Callable[[], None],
    ) -> None:
        self._on_first: Callable[[], None] | None = on_first
        self._job = job
        self._caller = caller
        self._server = server
        self._record = record
        self._names = names

    async def run(self) -> attempt_result.AttemptResult:
        """Relay the answer and return how it ended."""
        head = await self._head()
        if isinstance(head, response_part.ConnectionLost):
            return attempt_result.Broken(head.reason)
        if head.status == 421 or head.value(self._names.not_run) is not None:
            if await self._body(WHOLE_ANSWER_LIMIT_BYTES) is not None:
                self._server.mark_answered()
            return attempt_result.Refused(head.status)
        signed = head.value(self._names.signature) is not None
        if not signed or (
            head.status < 300 and head.value(self._names.request_id) is None
        ):
            return attempt_result.Broken(
                f"answer {head.status} without signature or id"
            )
        self._job.may_have_run = True
        if self._job.request.method == b"HEAD":
            self._start(head, head.length)
            return attempt_result.Answered(head.status)
        if head.status < 300 and _is_stream(head):
            return await self._relay_events(head)
        return await self._relay_whole(head)

    async def _next(self) -> response_part.ResponsePart:
        part = await self._server.next()
        self._record.on_response_part()
        return part

    async def _head(
        self,
    ) -> response_part.ResponseHead | response_part.ConnectionLost:
        """Return the head of the answer to this request, skipping strays."""
        wanted = self._job.request_id.encode("latin-1")
        for _ in range(STRAY_ANSWER_LIMIT + 1):
            part = await self._next()
            if isinstance(part, response_part.ConnectionLost):
                return part
            if not isinstance(part, response_part.ResponseHead):
                continue
            echoed = part.value(self._names.request_id)
            if echoed is None or echoed == wanted:
                return part
            skipped = await self._body(WHOLE_ANSWER_LIMIT_BYTES)
            if skipped is None:
                break
        return response_part.ConnectionLost("answers of other requests")

    async def _body(self, limit: int) -> bytes | None:
        """Return the rest of a body; None if it is broken or too long."""
        data = bytearray()
        while True:
            match await self._next():
                case response_part.BodyData(data=piece):
                    data += piece
                    if len(data) > limit:
                        return None
                case response_part.ResponseEnd():
                    return bytes(data)
                case _:
                    return None

    async def _relay_whole(
        self, head: response_part.ResponseHead
    ) -> attempt_result.AttemptResult:
        if head.length is not None and head.length > WHOLE_ANSWER_LIMIT_BYTES:
            return await self._relay_long(head)
        body = bytearray()
        while True:
            match await self._next():
                case response_part.BodyData(data=piece):
                    body += piece
                    if len(body) > WHOLE_ANSWER_LIMIT_BYTES:
                        return await self._relay_long(head, bytes(body))
                case response_part.ResponseEnd():
                    self._server.mark_answered()
                    break
                case part:
                    return _broken(part)
        if head.status >= 500 and not self._job.started:
            return attempt_result.Failed(head, bytes(body))
        self._first()
        write_whole(self._job, self._caller, head, bytes(body))
        return attempt_result.Answered(head.status)

    async def _relay_long(
        self, head: response_part.ResponseHead, begun: bytes = b""
    ) -> attempt_result.AttemptResult:
        self._start(head, head.length)
        self._caller.write(begun)
        while True:
            match await self._next():
                case response_part.BodyData(data=piece):
                    self._caller.write(piece)
                    await self._caller.drained()
                case response_part.ResponseEnd():
                    self._server.mark_answered()
                    self._caller.finish()
                    return attempt_result.Answered(head.status)
                case part:
                    return _broken(part)

    async def _relay_events(
        self, head: response_part.ResponseHead
    ) -> attempt_result.AttemptResult:
        splitter = event_splitter.EventSplitter()
        while True:
            match await self._next():
                case response_part.BodyData(data=piece):
                    events = splitter.feed(piece)
                    if events:
                        self._pass_on(head, events)
                        await self._caller.drained()
                case response_part.ResponseEnd():
                    self._server.mark_answered()
                    if splitter.rest.strip():
                        return attempt_result.Broken("a cut event")
                    self._start(head, None)
                    self._caller.finish()
                    return attempt_result.Answered(head.status)
                case part:
                    return _broken(part)

    def _pass_on(
        self,
        head: response_part.ResponseHead,
        events: list[event_splitter.StreamEvent],
    ) -> None:
        self._first()
        job = self._job
        self._start(head, None)
        fresh = [
            event
            for event in events
            if event.number is None
            or job.last_event is None
            or event.number > job.last_event
        ]
        for event in fresh:
            job.events += 1
            if event.number is not None:
                job.last_event = event.number
        self._caller.write(b"".join(event.data for event in fresh))

    def _first(self) -> None:
        if self._on_first is not None:
            self._on_first()
            self._on_first = None

    def _start(
        self, head: response_part.ResponseHead, length: int | None
    ) -> None:
        """Write the head unless an earlier attempt has."""
        if self._job.started:
            return
        self._job.started = True
        self._caller.start(
            head.status, hop_headers.end_to_end(head.headers), length=length
        )


def write_whole(
    job: request_job.RequestJob,
    caller: caller_connection.CallerConnection,
    head: response_part.ResponseHead,
    body: bytes,
) -> None:
    """Pass on a complete answer."""
    job.started = True
    caller.start(
        head.status, hop_headers.end_to_end(head.headers), length=len(body)
    )
    caller.write(body)
    caller.finish()


def _broken(
    part: response_part.ConnectionLost | response_part.ResponseHead,
) -> attempt_result.Broken:
    """Return why an answer is not complete at a part that may not follow."""
    if isinstance(part, response_part.ConnectionLost):
        return attempt_result.Broken(part.reason)
    return attempt_result.Broken("two heads in one answer")


def _is_stream(head: response_part.ResponseHead) -> bool:
    kind = head.value(b"content-type") or b""
    return kind.lower().startswith(EVENT_STREAM)
