"""Stand-in of a backend server of the users' platform, on loopback."""

from __future__ import annotations

import asyncio
import contextlib
import functools
import json

from testing.users_platform import http_messages

# Path of queries for a server's state.
REPORT_PATH = "/-/report"
# Tokens that each event of a stream is charged with.
TOKENS_PER_EVENT = 6
# Time between two bytes of a stream that has stalled.
DRIP_INTERVAL_S = 0.1
# Bytes that a response without end grows by at a time.
ENDLESS_READ_BYTES = 65_536


class BackendServer:
    """Backend server that repeats request bodies or streams numbered events.

    Values of ``behaviour``:

    * ``well``: Responds to each request.
    * ``refuse``: Responds 503 and that it did not run the request.
    * ``refuse_interim``, ``refuse_until_close``, ``refuse_unfinished``,
      ``refuse_stray``: The same after an interim response, with a body that
      ends with the connection, with a body that breaks off, and in a response
      that names another request.
    * ``refuse_unnamed``: The same in a response that names no request.
    * ``repeat_refusal``, ``repeat_unnamed_refusal``: Runs the request, but
      writes an earlier refusal once more before its response, with the id of
      the request that was refused or without an id.
    * ``fail``: Responds 500.
    * ``cut``: Closes the connection in the middle of the response.
    * ``garbage``: Sends bytes that are not an HTTP response.
    * ``stray``: Sends a response with another request id first.
    * ``extra``: Sends more bytes after the response.
    * ``hang``: Starts to run the request and never responds.
    * ``drip``: Sends a byte of a stream now and then, and never an event.
    * ``unsigned``: Leaves out the header with the server's signature.
    * ``until_close``: Marks the end of a response by closing the connection.
    * ``until_close_cut``, ``until_close_empty``: The same for a stream, in the
      middle of the second event or before the first.
    * ``endless_header``, ``endless_headers``, ``endless_interim``,
      ``endless_trailer``, ``endless_event``, ``endless_lines``: Sends a header
      line, header lines, interim responses, trailer lines, an event that never
      ends, or empty lines in chunks of one byte.

    Streams are not affected by ``fail`` and ``extra``.

    A request whose body is in ``fatal_bodies``, or that has a part of
    ``fatal_parts`` in its prompt, ends the server's process when its answer
    would begin: all connections are reset and new ones are refused.

    Args:
        name: Id of the server, which its responses carry as signature.
        service: Name of the service.
        events_per_stream: Number of events in a streaming response.

    Attributes:
        behaviour: How it responds, ``well`` or one of the faults above.
        notice_headers: More header lines of all its responses.
        born: Start of the process that its entry states.
        version: Version of its software that its entry states.
        data_centre: Data centre that its entry states.
        resumption: Bytes that it sends for a stream that goes on, after the
            status line, request id and signature; None to go on.
        first_event_id: Id of the first event of a stream.
        cold_ms: Milliseconds for which its entry says that it stays cold.
        delay_s: Seconds that it waits before a response and after each event.
        on_stream_truncated: Called before a stream is truncated.
        on_request: Called when a request arrives.
        on_arrival: Called with each request that arrives.
        on_run_started: Called with each request that it starts to run.
        on_request_ended: Called with each request when its handling ends.
        on_crash: Called when a request has ended the process, with its body.
        fatal_bodies: Bodies of the requests that end the process.
        fatal_parts: Ids of the parts of prompts that end the process.
        received_requests: Method, target, headers and body of each request.
        request_versions: Version at which each request arrived, by its id.
        running_requests: Number of requests that are being handled.
        accepted_connections: Number of connections accepted so far.
        reports: Number of reports of its state so far.
        address: ``ip:port``, once it is started.
    """

    def __init__(
        self, name: str, service: str, *, events_per_stream: int = 4
    ) -> None:
        self.name = name
        self.service = service
        self.events_per_stream = events_per_stream
        self.behaviour = "well"
        self.notice_headers: tuple[str, ...] = ()
        self.born = 1
        self.version = "v1"
        self.data_centre = "hall"
        self.resumption: bytes | None = None
        self.first_event_id = 1
        self.cold_ms = 0
        self.delay_s = 0.0
        self.on_stream_truncated = lambda: None
        self.on_request = lambda: None
        self.on_arrival = lambda request: None
        self.on_run_started = lambda request: None
        self.on_request_ended = lambda request: None
        self.on_crash = lambda body: None
        self.fatal_bodies: set[bytes] = set()
        self.fatal_parts: set[str] = set()
        self.received_requests: list = []
        self.request_versions: dict[str | None, str] = {}
        self.running_requests = 0
        self.accepted_connections = 0
        self.reports = 0
        self._server: asyncio.Server | None = None
        self._process_number = 0
        self._open_writers: set[asyncio.StreamWriter] = set()
        self.address = ""

    async def start(self) -> None:
        """Start to listen on 127.0.0.1, on the port of an earlier start.

        The first start takes a free port.
        """
        await self.listen()

    async def listen(self) -> None:
        """Accept connections on the port of an earlier start, if any."""
        port = int(self.address.rpartition(":")[2] or 0)
        self._server = await asyncio.start_server(
            functools.partial(self._handle_connection, self._process_number),
            "127.0.0.1",
            port,
        )
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    def stop(self) -> None:
        """Stop listening; open connections stay."""
        self._server.close()

    def crash(self, body: bytes) -> None:
        """Reset all connections and refuse new ones, until started again."""
        self.end_process()
        self.on_crash(body)

    def end_process(self) -> None:
        """Stop listening and reset all connections."""
        self._process_number += 1
        self._server.close()
        for writer in list(self._open_writers):
            writer.transport.abort()

    @property
    def running(self) -> bool:
        """Whether its process accepts connections."""
        return self._server is not None and self._server.is_serving()

    async def restart(self, version: str) -> None:
        """End the process and start it at a version, under its id and address.

        The entry isn't written.

        Args:
            version: Version of the new process.
        """
        self.end_process()
        self.version = version
        self.born += 1_000
        await self.listen()

    def is_fatal(self, request) -> bool:
        """Return whether a request ends the process."""
        _, _, headers, body = request
        prefix = headers.get("x-jasminetally-prompt-prefix", "")
        parts = {entry.partition(":")[0] for entry in prefix.split(",")}
        return body in self.fatal_bodies or not parts.isdisjoint(
            self.fatal_parts
        )

    def refuse_connections(self) -> None:
        """Refuse new connections; open ones are still served."""
        self._server.close()

    def store_entry(self, state: str = "ready") -> dict:
        """Return the server's entry in the store.

        Args:
            state: ``ready`` or ``draining``.
        """
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.data_centre,
            "version": self.version,
            "slots": 8,
            "state": state,
            "cold_remaining_ms": self.cold_ms,
            "sequence": 1,
            "born": self.born,
        }

    async def _handle_connection(
        self, process_number: int, reader, writer
    ) -> None:
        """Handle requests until the client disconnects.

        A request is cancelled if its client disconnects.

        Args:
            process_number: Number of the process that has accepted the
                connection. It may have ended since.
            reader: Reads from the connection.
            writer: Writes to it.
        """
        if process_number != self._process_number:
            writer.transport.abort()
            return
        self.accepted_connections += 1
        self._open_writers.add(writer)
        with contextlib.suppress(*http_messages.DISCONNECT_EXCEPTIONS):
            while True:
                request = await http_messages.read_request(reader)
                if request[1] == REPORT_PATH:
                    writer.write(self._encode_report())
                    continue
                self.received_requests.append(request)
                request_id = request[2].get("x-jasminetally-attempt-id")
                self.request_versions[request_id] = self.version
                self.on_request()
                self.on_arrival(request)
                self.running_requests += 1
                response = asyncio.ensure_future(self._respond(writer, request))
                disconnect = asyncio.ensure_future(reader.read(1))
                disconnect.add_done_callback(_retrieve_exception)
                await asyncio.wait(
                    {response, disconnect}, return_when=asyncio.FIRST_COMPLETED
                )
                self.running_requests -= 1
                self.on_request_ended(request)
                if not response.done():
                    response.cancel()
                    break
                disconnect.cancel()
                if not response.result():
                    break
                await asyncio.sleep(0)
        self._open_writers.discard(writer)
        writer.transport.abort()

    async def _respond(self, writer, request) -> bool:
        """Respond to a request; return whether the connection stays open."""
        _, _, headers, body = request
        request_id = headers["x-jasminetally-attempt-id"]
        if self.behaviour.startswith("refuse"):
            return await self._refuse(writer, request)
        self.on_run_started(request)
        await asyncio.sleep(self.response_delay_s(request))
        if self.is_fatal(request):
            self.crash(body)
            return False
        match self.behaviour:
            case "hang":
                await asyncio.sleep(3600)
            case "garbage":
                writer.write(b"no answer at all\r\n\r\n")
                return False
        if self.behaviour.startswith("endless_"):
            start, piece = self._endless_bytes(request_id)
            writer.write(start)
            while True:
                writer.write(piece * (ENDLESS_READ_BYTES // len(piece)))
                await writer.drain()
        if self.behaviour.startswith("repeat_"):
            writer.write(self._encode_earlier_refusal())
        status = 500 if self.behaviour == "fail" else 200
        if self.behaviour == "stray":
            writer.write(
                self._encode_head("other", 200) + b"3\r\nabc\r\n0\r\n\r\n"
            )
        if headers.get("x-jasminetally-token-usage"):
            return await self._send_stream(writer, headers, request_id)
        head = self._encode_head(request_id, status, chunked=False)
        response_body = b"answer to " + body
        if self.behaviour == "until_close":
            writer.write(head + b"\r\n" + response_body)
            await writer.drain()
            writer.close()
            return False
        length_header = b"Content-Length: %d\r\n\r\n" % len(response_body)
        head += length_header
        if self.behaviour == "cut":
            writer.write(head + response_body[:4])
            return False
        writer.write(head + response_body)
        if self.behaviour == "extra":
            writer.write(b"more bytes")
        return True

    def _encode_report(self) -> bytes:
        """Return the response to a query for the server's state."""
        self.reports += 1
        report = {
            "stage": "prefill_decode",
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "busy": False,
            "sequence": 1,
            "waiting": 0,
            "running": self.running_requests,
            "kv_used": 0,
            "kv_total": 90_000,
            "handles": 0,
            "born": self.born,
        }
        body = json.dumps(report).encode()
        return b"HTTP/1.1 200 X\r\nContent-Length: %d\r\n\r\n%b" % (
            len(body),
            body,
        )

    def _encode_earlier_refusal(self) -> bytes:
        lines = ["HTTP/1.1 503 X", "X-Jasminetally-Not-Executed: 1"]
        if self.behaviour == "repeat_refusal":
            lines.append("X-Jasminetally-Attempt-Id: earlier")
        lines.append("Content-Length: 0")
        return "\r\n".join(lines).encode() + b"\r\n\r\n"

    async def _refuse(self, writer, request) -> bool:
        """Turn a request away; return whether the connection stays open."""
        request_id = request[2]["x-jasminetally-attempt-id"]
        lines = [
            "HTTP/1.1 503 X",
            "X-Jasminetally-Not-Executed: 1",
            *self.notice_headers,
        ]
        if self.behaviour not in ("refuse_stray", "refuse_unnamed"):
            lines.append(f"X-Jasminetally-Attempt-Id: {request_id}")
        match self.behaviour:
            case "refuse_interim":
                writer.write(b"HTTP/1.1 102 X\r\n\r\n")
            case "refuse_stray":
                lines.append("X-Jasminetally-Attempt-Id: other")
        body = b""
        match self.behaviour:
            case "refuse_until_close":
                body = b"no room"
            case "refuse_unfinished":
                lines.append("Content-Length: 10")
                body = b"no"
            case _:
                lines.append("Content-Length: 0")
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        await writer.drain()
        if body:
            writer.close()
        return not body

    def _endless_bytes(self, request_id: str) -> tuple[bytes, bytes]:
        """Return how a response without end starts, and what is repeated."""
        head = self._encode_head(request_id, 200)
        match self.behaviour:
            case "endless_header":
                return b"HTTP/1.1 200 X\r\nX-Long: ", b"x"
            case "endless_headers":
                return b"HTTP/1.1 200 X\r\n", b"X-Many: y\r\n"
            case "endless_interim":
                return b"", b"HTTP/1.1 102 X\r\n\r\n"
            case "endless_trailer":
                return head + b"3\r\nabc\r\n0\r\n", b"X-Many: y\r\n"
            case "endless_lines":
                return head, b"1\r\n\n\r\n"
            case _:
                return head, b"8\r\ndata: xx\r\n"

    async def _send_stream(self, writer, headers, request_id) -> bool:
        """Send the events after ``Last-Event-ID``, or all without it.

        Returns:
            Whether the connection stays open.
        """
        if self.resumption is not None and "last-event-id" in headers:
            status_line, _, rest = self.resumption.partition(b"\r\n")
            names = (
                f"\r\nX-Jasminetally-Attempt-Id: {request_id}\r\n"
                f"X-Jasminetally-Server-Signature: {self.name}\r\n"
            )
            writer.write(status_line + names.encode() + rest)
            return False
        if self.behaviour.startswith("until_close"):
            return await self._send_stream_until_close(writer, request_id)
        writer.write(self._encode_head(request_id, 200))
        while self.behaviour == "drip":
            writer.write(b"1\r\n:\r\n")
            await asyncio.sleep(DRIP_INTERVAL_S)
        first_id = self.first_event_id
        last_id = int(headers.get("last-event-id", first_id - 1))
        for number in range(last_id + 1, first_id + self.events_per_stream):
            data = self.make_event(request_id, number)
            if self.behaviour == "cut" and number == first_id + 1:
                self.on_stream_truncated()
                writer.write(b"%x\r\n%b" % (len(data), data[:7]))
                return False
            writer.write(b"%x\r\n%b\r\n" % (len(data), data))
            await asyncio.sleep(self.event_delay_s(request_id))
        writer.write(b"0\r\n\r\n")
        return True

    async def _send_stream_until_close(self, writer, request_id) -> bool:
        """Send a stream that ends with its connection."""
        head = self._encode_head(request_id, 200, chunked=False)
        writer.write(head + b"Content-Type: text/event-stream\r\n\r\n")
        events = [
            self.make_event(request_id, number + 1)
            for number in range(self.events_per_stream)
        ]
        match self.behaviour:
            case "until_close_cut":
                events = [*events[:1], events[1][:7]]
            case "until_close_empty":
                events = []
        writer.write(b"".join(events))
        await writer.drain()
        writer.close()
        return False

    def response_delay_s(self, request) -> float:
        """Return the pause before a response in seconds.

        Args:
            request: Method, target, headers and body, for subclasses.
        """
        del request
        return self.delay_s

    def event_delay_s(self, request_id: str) -> float:
        """Return the pause after an event of a stream in seconds.

        Args:
            request_id: Id of the request, for subclasses.
        """
        del request_id
        return self.delay_s

    def make_event(self, request_id: str, number: int) -> bytes:
        """Return an event of a stream.

        Args:
            request_id: Id of the request, for subclasses.
            number: Id of the event, from ``first_event_id``.
        """
        del request_id
        return b"id: %d\ndata: piece %d\n\n" % (number, number)

    def _encode_head(
        self, request_id: str, status: int, *, chunked=True
    ) -> bytes:
        """Encode the head of a response.

        Without ``chunked`` the blank line at the end is left out, so that the
        caller can append a Content-Length header.
        """
        lines = [
            f"HTTP/1.1 {status} X",
            f"X-Jasminetally-Attempt-Id: {request_id}",
            "Keep-Alive: timeout=10",
            *self.notice_headers,
        ]
        if self.behaviour != "unsigned":
            lines.append("X-Jasminetally-Server-Signature: " + self.name)
        if chunked:
            lines += [
                "Content-Type: text/event-stream",
                "Transfer-Encoding: chunked",
            ]
        return "\r\n".join(lines).encode() + b"\r\n\r\n"[: 4 if chunked else 2]


def _retrieve_exception(fut: asyncio.Future) -> None:
    """Retrieve a future's exception, so that asyncio does not log it."""
    if not fut.cancelled():
        fut.exception()
