"""Stand-in of the users' backend servers, over loopback."""

from __future__ import annotations

import asyncio
import contextlib

from testing.users_platform import http_messages

TOKENS_PER_EVENT = 6


class BackendServer:
    """One backend server; ``behave`` changes how it answers.

    Attributes:
        behave: ``well``, or a fault: ``refuse``, ``fail``, ``cut``,
            ``garbage``, ``stray``, ``extra``, ``hang``, ``unsigned``,
            ``until_close``.
        seen: Requests that arrived: method, target, headers, body.
        running: Requests that are being worked on.
        on_cut: Called when a stream is cut.
        on_request: Called with each request that arrives.
        on_run: Called with the headers of each request that it begins to run.
        on_end: Called with them when the work has ended.
    """

    def __init__(
        self, name: str, service: str, *, events_per_stream: int = 4
    ) -> None:
        self.name = name
        self.service = service
        self.events_per_stream = events_per_stream
        self.behaviour = "well"
        self.delay_s = 0.0
        self.on_stream_truncated = lambda: None
        self.on_request = lambda: None
        self.on_run_started = lambda request: None
        self.on_request_ended = lambda request: None
        self.received_requests: list = []
        self.running_requests = 0
        self.accepted_connections = 0
        self._server: asyncio.Server | None = None
        self.address = ""

    async def start(self) -> None:
        """Bind an address and begin to serve."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    def stop(self) -> None:
        """Stop serving."""
        self._server.close()

    def refuse_connections(self) -> None:
        """Accept no more connections."""
        self._server.close()

    def store_entry(self, state: str = "ready") -> dict:
        """Return what the server says of itself in the store."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": "hall",
            "version": "v1",
            "slots": 8,
            "state": state,
            "cold_remaining_ms": 0,
            "sequence": 1,
            "born": 1,
        }

    async def _serve(self, reader, writer) -> None:
        self.accepted_connections += 1
        with contextlib.suppress(*http_messages.DISCONNECT_EXCEPTIONS):
            while True:
                request = await http_messages.read_request(reader)
                self.received_requests.append(request)
                self.on_request()
                self.running_requests += 1
                work = asyncio.ensure_future(self._work(writer, request))
                gone = asyncio.ensure_future(reader.read(1))
                gone.add_done_callback(_look_at)
                await asyncio.wait(
                    {work, gone}, return_when=asyncio.FIRST_COMPLETED
                )
                self.running_requests -= 1
                self.on_request_ended(request)
                if not work.done():
                    work.cancel()
                    break
                gone.cancel()
                if not work.result():
                    break
                await asyncio.sleep(0)
        writer.transport.abort()

    async def _work(self, writer, request) -> bool:
        """Answer one request; return whether the connection stays open."""
        _, _, headers, body = request
        request_id = headers["x-jasminetally-attempt-id"]
        if self.behaviour == "refuse":
            writer.write(
                b"HTTP/1.1 503 X\r\nX-Jasminetally-Not-Executed: 1\r\n"
                b"Content-Length: 0\r\n\r\n"
            )
            return True
        self.on_run_started(request)
        await asyncio.sleep(self.delay_s)
        match self.behaviour:
            case "hang":
                await asyncio.sleep(3600)
            case "garbage":
                writer.write(b"no answer at all\r\n\r\n")
                return False
        status = 500 if self.behaviour == "fail" else 200
        if self.behaviour == "stray":
            writer.write(self._head("other", 200) + b"3\r\nabc\r\n0\r\n\r\n")
        if headers.get("x-jasminetally-token-usage"):
            return await self._stream(writer, headers, request_id)
        head = self._head(request_id, status, chunked=False)
        answer = b"answer to " + body
        if self.behaviour == "until_close":
            writer.write(head + b"\r\n" + answer)
            await writer.drain()
            writer.close()
            return False
        length = b"Content-Length: %d\r\n\r\n" % len(answer)
        head += length
        if self.behaviour == "cut":
            writer.write(head + answer[:4])
            return False
        writer.write(head + answer)
        if self.behaviour == "extra":
            writer.write(b"more bytes")
        return True

    async def _stream(self, writer, headers, request_id) -> bool:
        writer.write(self._head(request_id, 200))
        first = int(headers.get("last-event-id", 0)) + 1
        for number in range(first, self.events_per_stream + 1):
            data = self.make_event(request_id, number)
            if self.behaviour == "cut" and number == 2:
                self.on_stream_truncated()
                writer.write(b"%x\r\n%b" % (len(data), data[:7]))
                return False
            writer.write(b"%x\r\n%b\r\n" % (len(data), data))
            await asyncio.sleep(self.delay_s)
        writer.write(b"0\r\n\r\n")
        return True

    def make_event(self, request_id: str, number: int) -> bytes:
        """Return one event of the answer to a request."""
        del request_id
        return b"id: %d\ndata: piece %d\n\n" % (number, number)

    def _head(self, request_id: str, status: int, *, chunked=True) -> bytes:
        lines = [
            f"HTTP/1.1 {status} X",
            f"X-Jasminetally-Attempt-Id: {request_id}",
            "Keep-Alive: timeout=10",
        ]
        if self.behaviour != "unsigned":
            lines.append("X-Jasminetally-Server-Signature: " + self.name)
        if chunked:
            lines += [
                "Content-Type: text/event-stream",
                "Transfer-Encoding: chunked",
            ]
        return "\r\n".join(lines).encode() + b"\r\n\r\n"[: 4 if chunked else 2]


def _look_at(done: asyncio.Future) -> None:
    """Take note of an error, so that the loop does not report it."""
    if not done.cancelled():
        done.exception()
