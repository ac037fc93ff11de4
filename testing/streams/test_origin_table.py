"""Tests of the table of streams and their origins."""

from __future__ import annotations

from jasminetally._streams import origin_table
from jasminetally._streams import process_label
from jasminetally._streams import stream_origin
from jasminetally._streams import value_history

V1 = stream_origin.StreamOrigin("pool", "v1")
V2 = stream_origin.StreamOrigin("pool", "v2")


def test_first_origin_of_a_stream_counts():
    """Guards against a stream whose origin changes with its continuations."""
    table = origin_table.OriginTable()
    assert table.add("a", V1, 0.0)
    assert not table.add("a", V2, 1.0)
    assert table.get("a", 1.0) == V1


def test_origin_that_is_found_late_replaces_an_unknown_process():
    """Guards against refusals of streams whose server was slow to report."""
    unknown = V1._replace(version=process_label.unknown("a"))
    table = origin_table.OriginTable()
    assert table.add("a", unknown, 0.0)
    assert not table.add("a", unknown, 1.0)
    assert table.add("a", V2, 2.0)
    assert not table.add("a", V1, 3.0)
    assert table.get("a", 3.0) == V2


def test_old_streams_are_forgotten():
    """Guards against memory that grows with the streams of a day."""
    table = origin_table.OriginTable()
    for number in range(origin_table.MAX_STREAMS + 10):
        table.add(f"{number}", V1, 0.0)
    assert len(table.unannounced_streams(["pool"])) == origin_table.MAX_STREAMS
    assert table.get("9", 0.0) is None
    assert table.get("10", 0.0) == V1
    late_s = value_history.STREAM_LIFETIME_S + 1
    assert table.get("10", late_s) is None
    assert table.unannounced_streams(["pool"]) == []


def test_stream_is_announced_once():
    """Guards against messages that grow with each change of the routes."""
    table = origin_table.OriginTable()
    table.add("a", V1, 0.0)
    table.add("b", V2, 0.0)
    table.set_announced("a")
    assert [
        stream.stream_id for stream in table.unannounced_streams(["pool"])
    ] == ["b"]
    assert table.unannounced_streams(["other"]) == []
