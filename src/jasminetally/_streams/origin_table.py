"""Origins of recent streams."""

from __future__ import annotations

import collections
from collections.abc import Collection

from jasminetally._streams import announced_stream
from jasminetally._streams import process_label
from jasminetally._streams import stream_origin
from jasminetally._streams import value_history

# Streams whose origins are kept. The busiest router starts 60 streams a second
# on average over a day of heavy load.
MAX_STREAMS = 20_000


class OriginTable:
    """Keeps the origins of recent streams in the order of their start.

    Performs no I/O. Streams are forgotten after ``STREAM_LIFETIME_S``, and the
    oldest ones above ``MAX_STREAMS``.
    """

    def __init__(self) -> None:
        self._streams: collections.OrderedDict[
            str, tuple[stream_origin.StreamOrigin, float]
        ] = collections.OrderedDict()
        self._unannounced: set[str] = set()

    def add(
        self, stream_id: str, origin: stream_origin.StreamOrigin, now_s: float
    ) -> bool:
        """Add a stream, unless it is known, or only its process was not.

        Args:
            stream_id: Id of the request that brought the first event.
            origin: Origin of the stream.
            now_s: Monotonic time in seconds.

        Returns:
            Whether the stream or its origin was not known.
        """
        self._forget(now_s)
        if stream_id in self._streams:
            known, started_s = self._streams[stream_id]
            if not process_label.may_be_replaced(known.version, origin.version):
                return False
            self._streams[stream_id] = origin, started_s
            return True
        if len(self._streams) >= MAX_STREAMS:
            self._drop_oldest()
        self._streams[stream_id] = origin, now_s
        self._unannounced.add(stream_id)
        return True

    def get(
        self, stream_id: str, now_s: float
    ) -> stream_origin.StreamOrigin | None:
        """Return the origin of a stream; None if it is not known.

        Args:
            stream_id: Id of the request that brought the first event.
            now_s: Monotonic time in seconds.
        """
        self._forget(now_s)
        found = self._streams.get(stream_id)
        return None if found is None else found[0]

    def set_announced(self, stream_id: str) -> None:
        """Note that other routers know a stream.

        Args:
            stream_id: Id of the request that brought the first event.
        """
        self._unannounced.discard(stream_id)

    def unannounced_streams(
        self, services: Collection[str]
    ) -> list[announced_stream.AnnouncedStream]:
        """Return the streams of services that other routers don't know.

        Args:
            services: The services.
        """
        return [
            announced_stream.AnnouncedStream(stream_id, *origin)
            for stream_id, (origin, _) in self._streams.items()
            if stream_id in self._unannounced and origin.service in services
        ]

    def _forget(self, now_s: float) -> None:
        while self._streams:
            _, started_s = next(iter(self._streams.values()))
            if now_s - started_s <= value_history.STREAM_LIFETIME_S:
                return
            self._drop_oldest()

    def _drop_oldest(self) -> None:
        stream_id, _ = self._streams.popitem(last=False)
        self._unannounced.discard(stream_id)
