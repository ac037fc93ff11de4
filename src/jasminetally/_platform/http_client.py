"""Platform port over HTTP."""

from __future__ import annotations

from typing import NamedTuple
from urllib import parse

import msgspec
import urllib3

from jasminetally import _errors
from jasminetally._platform import entry
from jasminetally._platform import snapshot

CONNECT_TIMEOUT_S = 1.0
READ_TIMEOUT_S = 2.0
WATCH_MARGIN_S = 5.0
DEFAULT_RETRY_AFTER_S = 0.1
STORE_VERSION_HEADER = "Store-Version"


class WireEntry(NamedTuple):
    """JSON form of an object in lists and watch results."""

    key: str
    value: str | None
    version: int


class HttpPlatform:
    """Implement ``PlatformPort`` against the platform's HTTP interface.

    Safe for use by several threads.

    Args:
        address: Platform address in the form ``ip:port``.
        read_timeout_s: Seconds to wait for a reply.
        connections: Connections kept open.
    """

    def __init__(
        self,
        address: str,
        *,
        read_timeout_s: float = READ_TIMEOUT_S,
        connections: int = 8,
    ) -> None:
        host, port = address.rsplit(":", 1)
        self._read_timeout_s = read_timeout_s
        self._pool = urllib3.HTTPConnectionPool(
            host, int(port), maxsize=connections, retries=False
        )

    def get(self, key: str) -> entry.Entry:
        """Return an object; raise ``NotFoundError`` if there is none."""
        response = self._call("GET", _object_path(key))
        return entry.Entry(key, response.data, _version(response))

    def list(
        self, prefix: str, *, allow_stale: bool = False
    ) -> snapshot.Snapshot:
        """Return all objects whose key starts with the prefix, by key."""
        del allow_stale  # This interface has no cheaper, stale reads.
        query = parse.urlencode({"prefix": prefix})
        return _snapshot(self._call("GET", f"/v1/objects?{query}"))

    def create(self, key: str, value: bytes) -> int:
        """Create an object; raise ``VersionConflictError`` if it exists."""
        response = self._call(
            "PUT", _object_path(key), value, {"If-None-Match": "*"}
        )
        return _version(response)

    def update(self, key: str, value: bytes, *, expected_version: int) -> int:
        """Replace an object at an expected version; return the new version."""
        response = self._call(
            "PUT", _object_path(key), value, {"If-Match": str(expected_version)}
        )
        return _version(response)

    def delete(self, key: str, *, expected_version: int) -> None:
        """Delete an object at an expected version."""
        self._call(
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
        response = self._call(
            "GET",
            f"/v1/watch?{query}",
            read_timeout_s=timeout_s + WATCH_MARGIN_S,
        )
        return _snapshot(response)

    def close(self) -> None:
        """Close all connections."""
        self._pool.close()

    def _call(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
        *,
        read_timeout_s: float | None = None,
    ) -> urllib3.BaseHTTPResponse:
        timeout = urllib3.Timeout(
            connect=CONNECT_TIMEOUT_S,
            read=read_timeout_s or self._read_timeout_s,
        )
        try:
            response = self._pool.request(
                method, path, body=body, headers=headers, timeout=timeout
            )
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ) as exc:
            raise _errors.PlatformUnavailableError(
                f"platform can't be reached for {method} {path}: {exc}"
            ) from exc
        except urllib3.exceptions.HTTPError as exc:
            raise _errors.OutcomeUnknownError(
                f"no reply from the platform to {method} {path}: {exc}"
            ) from exc
        return _checked(response, method, path)


def _checked(
    response: urllib3.BaseHTTPResponse, method: str, path: str
) -> urllib3.BaseHTTPResponse:
    if response.status < 300:
        return response
    text = f"{method} {path}: status {response.status}"
    match response.status:
        case 404:
            raise _errors.NotFoundError(text)
        case 409 | 412:
            raise _errors.VersionConflictError(text)
        case 429:
            wait_s = float(
                response.headers.get("Retry-After", DEFAULT_RETRY_AFTER_S)
            )
            raise _errors.RateLimitedError(text, retry_after_s=wait_s)
        case 503:
            raise _errors.PlatformUnavailableError(text)
        case status if status >= 500:
            raise _errors.OutcomeUnknownError(text)
        case _:
            raise _errors.PlatformError(text)


def _object_path(key: str) -> str:
    return "/v1/objects/" + parse.quote(key, safe="/")


def _version(response: urllib3.BaseHTTPResponse) -> int:
    return int(response.headers["ETag"].strip('"'))


def _snapshot(response: urllib3.BaseHTTPResponse) -> snapshot.Snapshot:
    found = msgspec.json.decode(response.data, type=list[WireEntry])
    entries = [
        entry.Entry(
            item.key,
            None if item.value is None else item.value.encode("latin-1"),
            item.version,
        )
        for item in found
    ]
    version = int(response.headers[STORE_VERSION_HEADER])
    return snapshot.Snapshot(entries, version)
