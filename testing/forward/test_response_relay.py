"""Tests of the relay of a server's response."""

from __future__ import annotations

import asyncio
import dataclasses
import types

import pytest

from jasminetally._forward import attempt_result
from jasminetally._forward import event_splitter
from jasminetally._forward import request_job
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

    def __init__(self, *parts, used=False) -> None:
        self.used = used
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


async def find_running() -> bool:
    return False


def make_relay(server, caller, *, resumable=True, last_event_id=None):
    job = types.SimpleNamespace(
        request_id=REQUEST_ID,
        request=types.SimpleNamespace(method=b"POST"),
        route=types.SimpleNamespace(resumable=resumable),
        response_started=last_event_id is not None,
        last_event_id=last_event_id,
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
        has_ended=find_running,
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


@pytest.mark.parametrize(
    ("used", "result_type"),
    [(False, attempt_result.Refused), (True, attempt_result.Broken)],
)
def test_refusal_without_a_request_id_counts_on_an_unused_connection(
    used, result_type
):
    """Guards against one that a server sends again after another response."""
    refusal = response_part.ResponseHead(503, [(b"not-run", b"1")], 0)
    server = ReadyServer(refusal, response_part.ResponseEnd(), used=used)
    result = asyncio.run(make_relay(server, WillingCaller()).run())
    assert isinstance(result, result_type)


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


def event(number: int, text: str = "x") -> bytes:
    return b"id: %d\ndata: %s\n\n" % (number, text.encode())


def relay_parts(*parts, head=HEAD, last_event_id=None, resumable=True):
    """Relay the parts of a body, after the caller has got an event.

    Args:
        parts: Bytes that arrive together.
        head: Head of the response.
        last_event_id: Id of that event; None for a new stream.
        resumable: Whether the stream may go on at another server.

    Returns:
        The result and the body that the caller has got.
    """
    data = [response_part.BodyData(part) for part in parts]
    server = ReadyServer(head, *data, response_part.ResponseEnd())
    caller = WillingCaller()
    relay = make_relay(
        server, caller, resumable=resumable, last_event_id=last_event_id
    )
    return asyncio.run(relay.run()), caller.body


@pytest.mark.parametrize("together", [True, False])
def test_events_of_a_stream_that_cannot_be_resumed_are_not_dropped(together):
    """Guards against pieces lost from a stream that looks complete."""
    events = [event(3), event(1), event(1, "y"), event(2)]
    parts = [b"".join(events)] if together else events
    result, body = relay_parts(*parts, resumable=False)
    assert isinstance(result, attempt_result.Answered)
    assert body == b"".join(events)


@pytest.mark.parametrize("together", [True, False])
@pytest.mark.parametrize("repeated", [event(2), event(2, "y"), event(1)])
def test_ids_that_do_not_rise_break_a_resumable_stream(together, repeated):
    """Guards against pieces that come twice, or that are lost unseen."""
    events = [event(1), event(2), repeated, event(3)]
    parts = [b"".join(events)] if together else events
    result, body = relay_parts(*parts)
    assert isinstance(result, attempt_result.Broken)
    assert body == event(1) + event(2)


@pytest.mark.parametrize("together", [True, False])
def test_events_without_id_are_skipped_with_those_before_them(together):
    """Guards against pieces that come twice where a stream goes on."""
    events = [event(1), b"data: one\n\n", event(2), event(3), b"data: y\n\n"]
    parts = [b"".join(events)] if together else events
    result, body = relay_parts(*parts, last_event_id=2)
    assert isinstance(result, attempt_result.Answered)
    assert body == event(3) + b"data: y\n\n"


@pytest.mark.parametrize("together", [True, False])
@pytest.mark.parametrize("comment", [b": x\n\n", b":\r\n\r\n", b":a\r:b\r\r"])
def test_stream_goes_on_behind_comments(together, comment):
    """Guards against streams broken off while a server reads the prompt."""
    events = [comment, comment, event(2), event(3)]
    parts = [b"".join(events)] if together else events
    result, body = relay_parts(*parts, last_event_id=2)
    assert isinstance(result, attempt_result.Answered)
    assert body == event(3)


def test_comments_in_place_of_a_resumed_stream_are_given_up():
    """Guards against a stream held until its deadline by comments."""
    comments = b": x\n\n" * PIECE_BYTES
    result, body = relay_parts(comments, last_event_id=2)
    assert isinstance(result, attempt_result.Broken)
    assert not body


@pytest.mark.parametrize("last_event_id", [None, 2])
def test_stream_without_events_is_whole_only_if_it_says_so(last_event_id):
    """Guards against a stream cut before its first event that looks whole."""
    until_close = dataclasses.replace(HEAD, headers=HEAD.headers[:-1])
    result, _ = relay_parts(head=until_close, last_event_id=last_event_id)
    assert isinstance(result, attempt_result.Broken)
    assert result.closed_by_server
    result, _ = relay_parts(head=HEAD, last_event_id=last_event_id)
    assert isinstance(result, attempt_result.Answered)


@pytest.mark.parametrize(
    ("last_event_id", "repeatable"), [(None, False), (1, True)]
)
def test_only_event_streams_go_on_at_another_server(last_event_id, repeatable):
    """Guards against a plain response that ends with another one's events."""
    job = types.SimpleNamespace(
        response_started=True,
        last_event_id=last_event_id,
        route=types.SimpleNamespace(resumable=True, repeatable=True),
    )
    assert request_job.RequestJob.repeatable.fget(job) == repeatable


def test_events_that_the_caller_has_do_not_complete_a_stream():
    """Guards against a resumed stream cut before its first new event."""
    until_close = dataclasses.replace(HEAD, headers=HEAD.headers[:-1])
    result, body = relay_parts(
        event(1) + event(2), head=until_close, last_event_id=2
    )
    assert isinstance(result, attempt_result.Broken)
    assert not body
