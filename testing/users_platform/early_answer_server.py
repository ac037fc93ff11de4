"""Backend server that answers before it has read a request."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct

from testing.users_platform import http_messages
from testing.users_platform import server_standin

READ_BYTES = 65_536


class EarlyAnswerServer(server_standin.BackendServer):
    """Answers once it has read the head, and then ends the connection.

    Attributes:
        status_line: First line of its answers.
        part: What is sent of the body of an answer.
        framing: ``none``: the end of the connection ends the answer.
            ``chunks``: a chunk, without the last one. ``length``: a length of
            twice the body that is sent. ``whole``: the length of what is sent.
        content_type: Type of the answer.
        read_ratio: Part of the request's body that is read before the answer.
        pause_s: Seconds between the answer and the end of the connection.
        ending: ``reset`` drops what was not delivered; ``abort`` and ``close``
            end the connection with the rest of the request unread; ``stay``
            keeps it open. ``end_process`` refuses new connections and ends
            all as the operating system does for a process that has ended.
        received_heads: Number of requests whose head has arrived.
    """

    status_line = b"HTTP/1.1 200 OK"
    part = 400 * b"x"
    framing = "none"
    content_type = b"text/plain"
    read_ratio = 0.0
    pause_s = 0.0
    ending = "reset"
    received_heads = 0

    async def _handle_connection(self, process_number, reader, writer) -> None:
        del process_number
        self._open_writers.add(writer)
        with contextlib.suppress(*http_messages.DISCONNECT_EXCEPTIONS):
            while await self._answer_next(reader, writer):
                pass
        self._open_writers.discard(writer)
        if self.ending not in ("close", "end_process"):
            writer.transport.abort()

    async def _answer_next(self, reader, writer) -> bool:
        """Answer a request; return whether the connection stays open."""
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        if server_standin.REPORT_PATH in head.split("\r\n")[0]:
            writer.write(self._encode_report())
            return True
        self.received_heads += 1
        headers = dict(
            line.lower().split(": ", 1)
            for line in head.split("\r\n")[1:]
            if line
        )
        left = int(self.read_ratio * int(headers.get("content-length", 0)))
        while left:
            left -= len(await reader.read(min(left, READ_BYTES)))
        request_id = headers["x-jasminetally-attempt-id"].encode()
        writer.write(self._encode_answer(request_id))
        await writer.drain()
        await asyncio.sleep(self.pause_s)
        match self.ending:
            case "stay":
                return True
            case "reset":
                writer.get_extra_info("socket").setsockopt(
                    socket.SOL_SOCKET,
                    socket.SO_LINGER,
                    struct.pack("ii", True, 0),
                )
            case "close":
                writer.close()
            case "end_process":
                self._server.close()
                for open_writer in list(self._open_writers):
                    open_writer.close()
        return False

    def _encode_answer(self, request_id: bytes) -> bytes:
        lines = [
            self.status_line,
            b"X-Jasminetally-Attempt-Id: " + request_id,
            b"X-Jasminetally-Server-Signature: " + self.name.encode(),
            b"Content-Type: " + self.content_type,
        ]
        body = self.part
        match self.framing:
            case "chunks":
                lines.append(b"Transfer-Encoding: chunked")
                body = b"%x\r\n%b\r\n" % (len(self.part), self.part)
            case "length":
                lines.append(b"Content-Length: %d" % (2 * len(self.part)))
            case "whole":
                lines.append(b"Content-Length: %d" % len(self.part))
        return b"\r\n".join(lines) + b"\r\n\r\n" + body
