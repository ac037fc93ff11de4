"""Stand-in of a backend server whose streams end in many ways."""

from __future__ import annotations

import asyncio
import socket
import struct

from testing.users_platform import server_standin

# Time in which a router reads what was sent before a reset drops it.
BEFORE_RESET_S = 0.05
# Number of the event after which, or inside which, a stream breaks off.
BROKEN_EVENT = 2


class FramedServer(server_standin.BackendServer):
    """Backend server that frames and ends its streams as it is told.

    Values of ``framing``: ``chunks``, ``length`` and ``connection``.

    Values of ``ending``, and ``resumed_ending`` for streams that go on:

    * ``whole``: All events, and the end.
    * ``close_between``, ``reset_between``: Ends after an event.
    * ``close_inside``, ``reset_inside``: Ends inside an event.
    * ``exit_between``: The same as ``close_between``, as the process ends: its
      other connections are closed too and new ones are refused.
    * ``restart_between``: The same, and another process starts at once.
    * ``close_at_end``, ``reset_at_end``: All events, no end of chunks.
    * ``close_in_terminator``: Ends inside the last, empty chunk.
    * ``close_after_head``, ``reset_after_head``: Ends before the first event.
    * ``reset_with_end``: All events and the end, and a reset at once.
    * ``trailer``: All events in chunks with extensions, and a trailer.
    * ``extra``: All events, the end and more bytes.
    * ``short_length``: The end that the length states is inside the last event.

    Attributes:
        framing: How the end of a stream is stated.
        ending: How a new stream ends.
        resumed_ending: How a stream ends that goes on.
    """

    def __init__(self, name: str, service: str) -> None:
        super().__init__(name, service, events_per_stream=6)
        self.framing = "chunks"
        self.ending = "whole"
        self.resumed_ending = "whole"

    async def _send_stream(self, writer, headers, request_id) -> bool:
        first_number = int(headers.get("last-event-id", 0)) + 1
        ending = self.ending if first_number == 1 else self.resumed_ending
        numbers = range(first_number, self.events_per_stream + 1)
        events = [self.make_event(request_id, number) for number in numbers]
        sent = self._truncate_events(events, ending)
        writer.write(self._encode_stream_head(request_id, events, ending))
        for event in sent:
            await asyncio.sleep(self.event_delay_s(request_id))
            writer.write(self._frame_event(event, ending))
        return await self._end_stream(writer, ending)

    def exit(self) -> None:
        """Stop listening and close all connections, as a process that ends."""
        self._process_number += 1
        self.stop()
        for writer in list(self._open_writers):
            writer.close()

    def _truncate_events(self, events: list[bytes], ending: str) -> list[bytes]:
        match ending:
            case "close_after_head" | "reset_after_head":
                return []
            case (
                "close_between"
                | "reset_between"
                | "exit_between"
                | "restart_between"
            ):
                return events[:BROKEN_EVENT]
            case "close_inside" | "reset_inside":
                return [*events[:BROKEN_EVENT], events[BROKEN_EVENT][:7]]
        return events

    def _encode_stream_head(
        self, request_id: str, events: list[bytes], ending: str
    ) -> bytes:
        head = self._encode_head(request_id, 200, chunked=False)
        head += b"Content-Type: text/event-stream\r\n"
        match self.framing:
            case "chunks":
                head += b"Transfer-Encoding: chunked\r\n"
            case "length":
                length = sum(len(event) for event in events)
                length -= 9 if ending == "short_length" else 0
                head += b"Content-Length: %d\r\n" % length
        return head + b"\r\n"

    def _frame_event(self, event: bytes, ending: str) -> bytes:
        if self.framing != "chunks":
            return event
        extension = b";a=b" if ending == "trailer" else b""
        # A chunk that breaks off is shorter than it says.
        size = len(event) + (20 if not event.endswith(b"\n\n") else 0)
        end = b"\r\n" if event.endswith(b"\n\n") else b""
        return b"%x%b\r\n%b%b" % (size, extension, event, end)

    async def _end_stream(self, writer, ending: str) -> bool:
        chunks = self.framing == "chunks"
        match ending:
            case "trailer":
                writer.write(b"0\r\nX-Sum: 1\r\n\r\n" if chunks else b"")
            case "close_in_terminator":
                writer.write(b"0\r\n" if chunks else b"")
            case "whole" | "reset_with_end" | "extra" | "short_length":
                writer.write(b"0\r\n\r\n" if chunks else b"")
        if ending == "extra" and self.framing != "connection":
            writer.write(b"more bytes")
        await writer.drain()
        if ending == "exit_between":
            self.exit()
            return False
        if ending == "restart_between":
            self.exit()
            self.born += 1_000
            await self.listen()
            return False
        if ending.startswith("reset"):
            if ending != "reset_with_end":
                await asyncio.sleep(BEFORE_RESET_S)
            writer.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
            )
            writer.transport.abort()
            return False
        if self.framing != "connection" and ending in ("whole", "trailer"):
            return True
        writer.close()
        return False
