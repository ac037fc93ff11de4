"""Tests of the table of streams and their origins."""

from __future__ import annotations

from jasminetally._streams import origin_table
from jasminetally._streams import stream_origin
from jasminetally._streams import version_history

V1 = stream_origin.StreamOrigin("pool", "v1")
V2 = stream_origin.StreamOrigin("pool", "v2")


def test_first_origin_of_a_stream_counts():
    """Guards against a stream whose origin changes with its continuations."""
    table = origin_table.OriginTable()
    assert table.add("a", V1, 0.0)
    assert not table.add("a", V2, 1.0)
    assert table.get("a", 1.0) == V1


def test_old_streams_are_forgotten():
    """Guards against memory that grows with the streams of a day."""
    table = origin_table.OriginTable()
    for number in range(origin_table.MAX_STREAMS + 10):
        table.add(f"{number}", V1, 0.0)
    assert len(table.streams_of("pool")) == origin_table.MAX_STREAMS
    assert table.get("9", 0.0) is None
    assert table.get("10", 0.0) == V1
    late_s = version_history.STREAM_LIFETIME_S + 1
    assert table.get("10", late_s) is None
    assert table.streams_of("pool") == []
