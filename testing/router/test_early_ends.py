"""Tests of engines' chat streams that end before their last event."""

from __future__ import annotations

import json
import socket
import struct

import pytest

from jasminetally._router import caller_sink
from jasminetally._router import event_filter
from jasminetally._router import relayed_stream
from jasminetally._router import stream_end

HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"


def encode_event(index: int, *, reason: str | None = None) -> bytes:
    choice = {"index": 0, "delta": {"content": "a"}, "finish_reason": reason}
    event = {"id": "at-1", "choices": [choice], "token_index": index}
    return b"data: " + json.dumps(event).encode() + b"\n\n"


CONTENT = encode_event(0) + encode_event(1)
FINISH = encode_event(2, reason="stop")
DONE = b"data: [DONE]\n\n"


def frame(body: bytes, framing: str) -> bytes:
    match framing:
        case "chunks":
            chunk = b"%x\r\n%b\r\n0\r\n\r\n" % (len(body), body)
            return HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + chunk
        case "length":
            return HEAD + b"Content-Length: %d\r\n\r\n" % len(body) + body
        case _:
            return HEAD + b"\r\n" + body


@pytest.fixture
def relay():
    """Return a function that relays a response and returns how it ended."""

    def run(data: bytes, *, reset: bool = False) -> stream_end.StreamEnd:
        with socket.create_server(("127.0.0.1", 0)) as listener:
            upstream = socket.create_connection(listener.getsockname())
            engine, _ = listener.accept()
        caller, other_end = socket.socketpair()
        with upstream, caller, other_end:
            with engine:
                engine.sendall(data)
                if reset:
                    engine.setsockopt(
                        socket.SOL_SOCKET,
                        socket.SO_LINGER,
                        struct.pack("ii", 1, 0),
                    )
            stream = relayed_stream.RelayedStream(
                "at-1",
                upstream,
                event_filter=event_filter.EventFilter(
                    "at-1", "req-1", keep_events=False
                ),
                sink=caller_sink.CallerSink(
                    caller.fileno(),
                    head=b"",
                    chunked=True,
                    discard_events=False,
                ),
            )
            end = None
            while end is None:
                end = stream.relay_available()
            return end

    return run


@pytest.mark.parametrize("framing", ["chunks", "length", "connection"])
@pytest.mark.parametrize(
    "body",
    [b"", CONTENT, CONTENT + FINISH, CONTENT + FINISH + DONE[:-2]],
    ids=["empty", "content", "finish", "cut_done"],
)
@pytest.mark.parametrize("reset", [False, True], ids=["closed", "reset"])
def test_stream_without_its_last_event_is_not_complete(
    relay, framing, body, reset
):
    """Guards against an early end that is relayed as the end of an answer."""
    assert relay(frame(body, framing), reset=reset).kind == "RESET"


@pytest.mark.parametrize("framing", ["chunks", "length", "connection"])
def test_stream_with_its_last_event_is_complete(relay, framing):
    """Guards against whole answers that are taken for broken ones."""
    end = relay(frame(CONTENT + FINISH + DONE, framing))
    assert end.kind == stream_end.FINISHED
