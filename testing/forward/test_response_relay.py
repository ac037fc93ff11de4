"""Tests of the relay of a server's response."""

from __future__ import annotations

import asyncio
import types

import pytest

from jasminetally._forward import attempt_result
from jasminetally._forward import event_splitter
from jasminetally._forward import response_part
from jasminetally._forward import response_relay

REQUEST_ID = "9c41d07be2a35f68"
NAMES = types.SimpleNamespace(
    request_id=b"attempt-id", signature=b"signature", not_run=b"not-run"
)
HEAD = response_part.ResponseHead(
    200,
    [
        (b"attempt-id", REQUEST_ID.encode()),
        (b"signature", b"server"),
        (b"content-type", b"text/event-stream"),
        (b"transfer-encoding", b"chunked"),
    ],
    None,
)
PIECE_BYTES = 262_144


class ReadyServer:
    """Server all of whose parts have arrived."""

    sent_requests = 1

    def __init__(self, *parts) -> None:
        self._parts = list(parts)

    async def next_part(self):
        """Return the next part at once."""
        return self._parts.pop(0)

    def mark_response_complete(self) -> None:
        """Ignore that the response is complete."""


class WillingCaller:
    """Caller that takes all bytes at once.

    Attributes:
        body: Bytes that it has got.
    """

    def __init__(self) -> None:
        self.body = b""

    def write_head(self, status, headers, *, length) -> None:
        """Ignore the head."""

    def write_body(self, data: bytes) -> None:
        """Keep a part of the body."""
        self.body += data

    async def drain(self) -> None:
        """Return at once."""

    def finish_response(self) -> None:
        """Ignore the end."""


def make_relay(server, caller, *, resumable=True):
    job = types.SimpleNamespace(
        request_id=REQUEST_ID,
        request=types.SimpleNamespace(method=b"POST"),
        route=types.SimpleNamespace(resumable=resumable),
        response_started=False,
        last_event_id=None,
        relayed_events=0,
        may_have_run=False,
    )
    record = types.SimpleNamespace(
        on_response_part=lambda: None, last_response_s=0.0
    )
    return response_relay.ResponseRelay(
        job,
        caller,
        server,
        record,
        NAMES,
        on_head=lambda head, is_own: None,
        on_first_part=lambda: None,
    )


@pytest.mark.parametrize(
    ("piece", "resumable"),
    [
        (b"\n", False),
        (b"\r\n", True),
        (b": x\n\n", True),
        (b"data: x\n\n", True),
        (b"id: 1\ndata: x\n\n", True),
    ],
)
def test_stream_without_end_is_given_up(piece, resumable):
    """Guards against bytes that are no answer, relayed until the deadline."""
    data = piece * (PIECE_BYTES // len(piece))
    parts = [response_part.BodyData(data)] * 4
    server = ReadyServer(HEAD, *parts, response_part.ResponseEnd())
    caller = WillingCaller()
    result = asyncio.run(make_relay(server, caller, resumable=resumable).run())
    assert isinstance(result, attempt_result.Broken)
    assert len(caller.body) <= 2 * response_relay.NO_PROGRESS_LIMIT_BYTES


def test_other_tasks_run_while_many_events_are_relayed():
    """Guards against a router that stands still while it relays events."""
    data = b"data: x\n\n" * 10_000
    server = ReadyServer(
        HEAD, response_part.BodyData(data), response_part.ResponseEnd()
    )
    caller = WillingCaller()
    turns = 0

    async def count_turns():
        nonlocal turns
        while True:
            turns += 1
            await asyncio.sleep(0)

    async def run():
        counting = asyncio.ensure_future(count_turns())
        try:
            return await make_relay(server, caller, resumable=False).run()
        finally:
            counting.cancel()

    assert isinstance(asyncio.run(run()), attempt_result.Answered)
    assert caller.body == data
    assert turns >= len(data) // response_relay.EVENTS_SLICE_BYTES


def test_empty_lines_between_events_are_relayed():
    """Guards against a body that is not the server's whole body."""
    data = b"\n\nid: 1\ndata: x\n\n\n\r\n\nid: 2\ndata: y\n\n\n\n"
    server = ReadyServer(
        HEAD,
        *(response_part.BodyData(bytes([byte])) for byte in data),
        response_part.ResponseEnd(),
    )
    caller = WillingCaller()
    result = asyncio.run(make_relay(server, caller).run())
    assert isinstance(result, attempt_result.Answered)
    assert caller.body == data
    splitter = event_splitter.EventSplitter()
    assert [event.event_id for event in splitter.feed(data)] == [1, 2]
