"""Origins of streams whose version wasn't known when they began."""

from __future__ import annotations

from collections.abc import Callable

from jasminetally._streams import process_label
from jasminetally._streams import stream_origin
from jasminetally._streams import value_history

# Origins that are kept; a release has one for each server whose entry is late.
MAX_ORIGINS = 4_000


class UnresolvedOrigins:
    """Keeps the processes that have begun streams at an unknown version.

    While a process of a service is unknown, no version is certain to be the
    only one that streams of the service may have. Performs no I/O.

    Args:
        resolve: Returns an origin with its version, once that is known.
    """

    def __init__(
        self,
        resolve: Callable[
            [stream_origin.StreamOrigin], stream_origin.StreamOrigin
        ],
    ) -> None:
        self._resolve = resolve
        # Monotonic time in seconds of the latest stream, oldest first.
        self._last_s: dict[stream_origin.StreamOrigin, float] = {}

    def add(self, origin: stream_origin.StreamOrigin, now_s: float) -> bool:
        """Note that a stream has begun.

        Args:
            origin: Origin of the stream; ignored if its version is known, or
                not even its process.
            now_s: Monotonic time in seconds.

        Returns:
            Whether the origin is a new one without a known version.
        """
        process = process_label.decode(origin.version)
        if process is None or not process.started_ms:
            return False
        is_new = self._last_s.pop(origin, None) is None
        self._last_s[origin] = now_s
        if len(self._last_s) > MAX_ORIGINS:
            del self._last_s[next(iter(self._last_s))]
        return is_new

    def of_service(
        self, service: str, now_s: float
    ) -> set[stream_origin.StreamOrigin]:
        """Return the recent origins, with their versions as far as known.

        Args:
            service: Service of the servers.
            now_s: Monotonic time in seconds.
        """
        expired_s = now_s - value_history.STREAM_LIFETIME_S
        while self._last_s:
            oldest = next(iter(self._last_s))
            if self._last_s[oldest] >= expired_s:
                break
            del self._last_s[oldest]
        return {
            self._resolve(origin)
            for origin in self._last_s
            if origin.service == service
        }
