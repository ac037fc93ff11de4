"""HTTP client of the platform's object store."""

from __future__ import annotations

from typing import NamedTuple
from urllib import parse

import msgspec
import urllib3

from jasminetally._platform import entry
from jasminetally._platform import http_transport
from jasminetally._platform import snapshot

# Time beyond the timeout of a watch to wait for its reply.
WATCH_READ_MARGIN_S = 5.0
STORE_VERSION_HEADER = "Store-Version"


class WireEntry(NamedTuple):
    """JSON form of an object in the result of a list or watch.

    Attributes:
        key: Name of the object.
        value: Content decoded as Latin-1, which maps each byte to one
            character; None if the object was deleted.
        version: Version of the object.
    """

    key: str
    value: str | None
    version: int


class HttpPlatform:
    """Implement ``PlatformPort`` against the platform's HTTP interface.

    Safe for use by several threads.

    Args:
        address: Platform address in the form ``ip:port``.
        read_timeout_s: Seconds to wait for data of a reply.
        connections: Maximum number of connections kept open for reuse.
    """

    era = 0

    def __init__(
        self,
        address: str,
        *,
        read_timeout_s: float = http_transport.READ_TIMEOUT_S,
        connections: int = 8,
    ) -> None:
        self._transport = http_transport.HttpTransport(
            address, read_timeout_s=read_timeout_s, connections=connections
        )

    def get(self, key: str) -> entry.Entry:
        """Return an object; raise ``NotFoundError`` if there is none."""
        response = self._transport.request("GET", _object_path(key))
        return entry.Entry(key, response.data, _response_version(response))

    def list(
        self, prefix: str, *, allow_stale: bool = False
    ) -> snapshot.Snapshot:
        """Return all objects whose key starts with the prefix."""
        del allow_stale  # This interface has no cheaper reads of old state.
        query = parse.urlencode({"prefix": prefix})
        return _decode_snapshot(
            self._transport.request("GET", f"/v1/objects?{query}")
        )

    def create(self, key: str, value: bytes) -> int:
        """Create an object; see ``PlatformPort.create``."""
        response = self._transport.request(
            "PUT", _object_path(key), value, {"If-None-Match": "*"}
        )
        return _response_version(response)

    def update(self, key: str, value: bytes, *, expected_version: int) -> int:
        """Replace an object; see ``PlatformPort.update``."""
        response = self._transport.request(
            "PUT", _object_path(key), value, {"If-Match": str(expected_version)}
        )
        return _response_version(response)

    def delete(self, key: str, *, expected_version: int) -> None:
        """Delete an object; see ``PlatformPort.delete``."""
        self._transport.request(
            "DELETE",
            _object_path(key),
            headers={"If-Match": str(expected_version)},
        )

    def watch(
        self, prefix: str, *, after_version: int, timeout_s: float
    ) -> snapshot.Snapshot:
        """Wait for changes under a prefix; see ``PlatformPort.watch``."""
        query = parse.urlencode(
            {"prefix": prefix, "after": after_version, "timeout_s": timeout_s}
        )
        response = self._transport.request(
            "GET",
            f"/v1/watch?{query}",
            read_timeout_s=timeout_s + WATCH_READ_MARGIN_S,
        )
        return _decode_snapshot(response)

    def distrust_connections(self) -> None:
        """Use new connections; see ``PlatformPort.distrust_connections``."""
        self._transport.distrust_connections()

    def close(self) -> None:
        """Close all connections."""
        self._transport.close()


def _object_path(key: str) -> str:
    return "/v1/objects/" + parse.quote(key, safe="/")


def _response_version(response: urllib3.BaseHTTPResponse) -> int:
    return int(response.headers["ETag"].strip('"'))


def _decode_snapshot(response: urllib3.BaseHTTPResponse) -> snapshot.Snapshot:
    wire_entries = msgspec.json.decode(response.data, type=list[WireEntry])
    entries = [
        entry.Entry(
            item.key,
            None if item.value is None else item.value.encode("latin-1"),
            item.version,
        )
        for item in wire_entries
    ]
    version = int(response.headers[STORE_VERSION_HEADER])
    return snapshot.Snapshot(entries, version)
