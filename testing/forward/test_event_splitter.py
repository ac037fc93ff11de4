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
