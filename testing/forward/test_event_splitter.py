"""Tests of the parser of server-sent events."""

from __future__ import annotations

import pytest

from jasminetally._forward import event_splitter

STREAM = (
    b"id: 1\ndata: a\n\n"
    b"id: 2\r\ndata: b\r\n\r\n"
    b": comment\n\n"
    b"data: no id\n\n"
    b"id: 3\ndata: cut"
)


@pytest.mark.parametrize("size", [1, 2, 7, 100])
def test_only_complete_events_are_returned(size):
    """Guards against a duplicated part of an event in a resumed stream.

    If an incomplete event were relayed before its server fails, the server that
    resumes the stream would send that event again.
    """
    splitter = event_splitter.EventSplitter()
    events = []
    for start in range(0, len(STREAM), size):
        events += splitter.feed(STREAM[start : start + size])
    assert [event.event_id for event in events] == [1, 2, None, None]
    assert (
        b"".join(event.data for event in events) + splitter.remainder == STREAM
    )
    assert splitter.remainder == b"id: 3\ndata: cut"


@pytest.mark.parametrize("digits", [19, 5_000])
def test_id_that_no_caller_can_name_is_none(digits):
    """Guards against a stream cut by an id that can't be read. Issue 63."""
    data = b"id: %b\ndata: a\n\n" % (b"9" * digits)
    (event,) = event_splitter.EventSplitter().feed(data)
    assert event.event_id is None
    assert event.data == data


def test_event_without_end_exceeds_the_limit():
    """Guards against a faulty server that fills the memory."""
    splitter = event_splitter.EventSplitter()
    piece = b"x" * 65_536
    for _ in range(event_splitter.EVENT_LIMIT_BYTES // len(piece)):
        assert splitter.feed(piece) == []
        assert not splitter.limit_exceeded
    splitter.feed(b"x")
    assert splitter.limit_exceeded
    (event,) = splitter.feed(b"\n\n")
    assert len(event.data) == event_splitter.EVENT_LIMIT_BYTES + 3
    assert not splitter.limit_exceeded


def test_end_of_an_event_is_found_across_reads():
    """Guards against a search that skips bytes which it has read before."""
    stream = b"data: a\r\n\r\ndata: b\n\n"
    for first in range(len(stream)):
        for second in range(first, len(stream)):
            splitter = event_splitter.EventSplitter()
            events = splitter.feed(stream[:first])
            events += splitter.feed(stream[first:second])
            events += splitter.feed(stream[second:])
            assert [event.data for event in events] == [
                b"data: a\r\n\r\n",
                b"data: b\n\n",
            ]


@pytest.mark.parametrize(
    ("first_end", "second_end"),
    [
        (b"\n", b"\n"),
        (b"\n", b"\r\n"),
        (b"\n", b"\r"),
        (b"\r\n", b"\n"),
        (b"\r\n", b"\r\n"),
        (b"\r\n", b"\r"),
        (b"\r", b"\r\n"),
        (b"\r", b"\r"),
    ],
)
def test_lines_may_end_in_any_way(first_end, second_end):
    """Guards against two events taken for one, with the id of the first."""
    piece = b"id: %d" + first_end + b"data: x" + first_end + second_end
    stream = piece % 1 + piece % 2 + piece % 3 + b": end"
    for size in range(1, len(stream) + 1):
        splitter = event_splitter.EventSplitter()
        events = []
        for start in range(0, len(stream), size):
            events += splitter.feed(stream[start : start + size])
        data = b"".join(event.data for event in events)
        assert [event.event_id for event in events] == [1, 2, 3]
        assert data + splitter.remainder == stream
        assert splitter.remainder.strip() == b": end"


@pytest.mark.parametrize("value", [b"9" * 5_000, b"9" * 19, b"1_0", b"-1"])
def test_id_that_no_router_reads_is_none(value):
    """Guards against requests that end without an answer."""
    splitter = event_splitter.EventSplitter()
    (event,) = splitter.feed(b"id: " + value + b"\ndata: x\n\n")
    assert event.event_id is None


def test_last_of_several_ids_counts():
    """Guards against an event that comes again where a stream goes on."""
    splitter = event_splitter.EventSplitter()
    events = splitter.feed(b"id: 1\ndata: x\nid: 2\n\nid: 3\ndata: y\nid:\n\n")
    assert [event.event_id for event in events] == [2, None]
