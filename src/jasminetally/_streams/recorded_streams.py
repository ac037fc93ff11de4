"""Origins of the newest streams, as kept for the loss of all routers."""

from __future__ import annotations

import collections
from collections.abc import Iterable

import msgspec

from jasminetally._streams import announced_stream
from jasminetally._streams import process_label

# Time after which a stream is dropped. It exceeds the deadlines of callers, who
# don't take up streams later.
RECORD_TTL_S = 30.0
# Most streams in one record. The encoded form has 20 to 30 bytes for each, and
# is written several times a second.
MAX_RECORDED_STREAMS = 4_000


class RecordedStreams:
    """Keeps the origins of the newest streams, and encodes them.

    Performs no I/O.

    Attributes:
        changed: Whether a stream was added since ``encode``.
    """

    def __init__(self) -> None:
        self.changed = False
        self._streams: collections.OrderedDict[
            str, tuple[announced_stream.AnnouncedStream, float]
        ] = collections.OrderedDict()

    def add(
        self,
        streams: Iterable[announced_stream.AnnouncedStream],
        now_s: float,
    ) -> None:
        """Add streams; those whose process is known are left as they are.

        Args:
            streams: The streams.
            now_s: Monotonic time in seconds.
        """
        for stream in streams:
            known, added_s = self._streams.get(stream.stream_id, (None, now_s))
            if known is None or process_label.may_be_replaced(
                known.version, stream.version
            ):
                self._streams[stream.stream_id] = stream, added_s
                self.changed = True
        while self._streams:
            _, added_s = next(iter(self._streams.values()))
            if (
                len(self._streams) <= MAX_RECORDED_STREAMS
                and now_s - added_s <= RECORD_TTL_S
            ):
                return
            self._streams.popitem(last=False)

    def encode(self) -> bytes:
        """Return the streams, oldest first, by service and version."""
        self.changed = False
        grouped: dict[str, dict[str, list[str]]] = {}
        for stream, _ in self._streams.values():
            versions = grouped.setdefault(stream.service, {})
            versions.setdefault(stream.version, []).append(stream.stream_id)
        return msgspec.json.encode(grouped)


def decode(encoded: bytes) -> list[announced_stream.AnnouncedStream]:
    """Return the streams of an encoded record.

    Args:
        encoded: The record, as ``RecordedStreams.encode`` returns it.

    Raises:
        msgspec.MsgspecError: It can't be decoded.
    """
    grouped = msgspec.json.decode(encoded, type=dict[str, dict[str, list[str]]])
    return [
        announced_stream.AnnouncedStream(stream_id, service, version)
        for service, versions in grouped.items()
        for version, stream_ids in versions.items()
        for stream_id in stream_ids
    ]
