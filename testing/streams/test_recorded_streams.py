"""Tests of the encoded origins of the newest streams."""

from __future__ import annotations

import msgspec
import pytest

from jasminetally._streams import announced_stream
from jasminetally._streams import process_label
from jasminetally._streams import recorded_streams


def make_streams(count, version="v1"):
    return [
        announced_stream.AnnouncedStream(f"{version}-{n}", "pool", version)
        for n in range(count)
    ]


def test_decoded_streams_are_those_encoded():
    """Guards against an origin that changes on its way through the store."""
    streams = recorded_streams.RecordedStreams()
    added = make_streams(3) + make_streams(2, "v2")
    streams.add(added, 0.0)
    assert sorted(recorded_streams.decode(streams.encode())) == sorted(added)


def test_only_new_streams_are_a_change():
    """Guards against writes to the store that change nothing."""
    streams = recorded_streams.RecordedStreams()
    streams.add(make_streams(2), 0.0)
    assert streams.changed
    streams.encode()
    streams.add(make_streams(2), 1.0)
    assert not streams.changed


def test_origin_that_is_found_late_replaces_an_unknown_process():
    """Guards against streams that no router can take up after a loss of all."""
    streams = recorded_streams.RecordedStreams()
    (stream,) = make_streams(1)
    unknown = stream._replace(version=process_label.unknown("a"))
    streams.add([unknown], 0.0)
    streams.encode()
    streams.add([unknown], 1.0)
    assert not streams.changed
    streams.add([stream], 2.0)
    assert streams.changed
    assert recorded_streams.decode(streams.encode()) == [stream]


def test_record_does_not_grow_with_the_streams_of_a_day():
    """Guards against writes that grow until they are refused."""
    streams = recorded_streams.RecordedStreams()
    most = recorded_streams.MAX_RECORDED_STREAMS
    streams.add(make_streams(most + 5), 0.0)
    assert len(recorded_streams.decode(streams.encode())) == most
    later_s = recorded_streams.RECORD_TTL_S + 0.1
    streams.add(make_streams(1, "v2"), later_s)
    assert recorded_streams.decode(streams.encode()) == make_streams(1, "v2")


@pytest.mark.parametrize("encoded", [b"", b"[]", b'{"pool": ["v1"]}'])
def test_record_of_another_form_is_an_error(encoded):
    """Guards against an unreadable record that stops a router."""
    with pytest.raises(msgspec.MsgspecError):
        recorded_streams.decode(encoded)
