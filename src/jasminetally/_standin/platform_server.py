"""Stand-in for the platform's object store and weight store."""

from __future__ import annotations

import threading
import time
from typing import TYPE_CHECKING
from typing import Any
from urllib import parse

import msgspec

from jasminetally import _errors
from jasminetally._http import http_server
from jasminetally._http import wsgi_io
from jasminetally._platform import http_client
from jasminetally._platform import memory
from jasminetally._shared import token_bucket
from jasminetally._standin import platform_faults

if TYPE_CHECKING:
    from collections.abc import Callable

    from jasminetally._platform import snapshot

# An open watch occupies one worker thread until it is answered.
WORKER_THREADS = 96
# Longer timeouts of a watch are reduced to this one.
MAX_WATCH_S = 60.0
OBJECT_PATH_PREFIX = "/v1/objects/"


class PlatformServer:
    """HTTP server for an in-memory object store, with injected faults.

    The routes are those of docs/design.md, section 3, and further
    ``/v1/weights/<path>`` (load from the weight store), ``POST /admin/faults``
    (fields of ``PlatformFaults``; fields not given stay as they are) and
    ``GET /admin/counts`` (calls to the object store by kind, and those that a
    rate limit refused).

    Args:
        host: IP address to bind.
        port: TCP port; 0 lets the system choose one.

    Attributes:
        store: Object store that is served; tests and the demo may use it
            directly, without faults and rate limits.
    """

    def __init__(self, *, host: str = "127.0.0.1", port: int = 0) -> None:
        self.store = memory.MemoryPlatform()
        self._lock = threading.Lock()
        self._counts = {"reads": 0, "writes": 0, "watches": 0, "refused": 0}
        self._server = http_server.HttpServer(
            self._handle_request, host=host, port=port, threads=WORKER_THREADS
        )
        self._set_faults(platform_faults.PlatformFaults())

    @property
    def address(self) -> str:
        """Address in the form ``ip:port``; known after ``start``."""
        return self._server.address

    def start(self) -> None:
        """Bind the address and begin to serve."""
        self._server.start()

    def stop(self) -> None:
        """Close the listening socket and end the worker threads."""
        self._server.stop()

    def _set_faults(self, faults: platform_faults.PlatformFaults) -> None:
        self._faults = faults
        self._write_limit = _create_bucket(faults.writes_per_s)
        self._read_limit = _create_bucket(faults.reads_per_s)
        self._weight_load_limit = _create_bucket(faults.weight_loads_per_s)

    def _handle_request(
        self, environ: dict[str, Any], start_response: Callable
    ) -> list[bytes]:
        path = environ["PATH_INFO"]
        if path.startswith("/admin/"):
            return self._handle_admin_request(path, environ, start_response)
        if self._faults.delay_s:
            time.sleep(self._faults.delay_s)
        if self._faults.outage:
            return wsgi_io.reply_json(start_response, 503, {"error": "outage"})
        wait_s = self._check_rate_limit(path, environ["REQUEST_METHOD"])
        if wait_s:
            return wsgi_io.reply_json(
                start_response,
                429,
                {"error": "rate limit exceeded; the call was not applied"},
                headers=[("Retry-After", f"{wait_s:.3f}")],
            )
        try:
            return self._dispatch_request(path, environ, start_response)
        except _errors.NotFoundError as exc:
            return wsgi_io.reply_json(start_response, 404, {"error": str(exc)})
        except _errors.VersionConflictError as exc:
            return wsgi_io.reply_json(start_response, 409, {"error": str(exc)})
        except (_errors.PlatformError, ValueError, KeyError) as exc:
            return wsgi_io.reply_json(start_response, 400, {"error": str(exc)})

    def _check_rate_limit(self, path: str, method: str) -> float:
        """Count a call; return 0, or the seconds to wait if it is refused.

        Loads from the weight store have a rate limit but are not counted.
        """
        now_s = time.monotonic()
        if path.startswith("/v1/weights/"):
            with self._lock:
                return self._weight_load_limit.take(now_s)
        kind = "reads" if method == "GET" else "writes"
        if path == "/v1/watch":
            kind = "watches"
        bucket = self._write_limit if kind == "writes" else self._read_limit
        with self._lock:
            wait_s = bucket.take(now_s)
            self._counts["refused" if wait_s else kind] += 1
        return wait_s

    def _dispatch_request(
        self, path: str, environ: dict[str, Any], start_response: Callable
    ) -> list[bytes]:
        query = dict(parse.parse_qsl(environ.get("QUERY_STRING", "")))
        if path == "/v1/objects":
            found = self.store.list(query["prefix"])
            return _reply_snapshot(start_response, found)
        if path == "/v1/watch":
            found = self.store.watch(
                query["prefix"],
                after_version=int(query["after"]),
                timeout_s=min(float(query["timeout_s"]), MAX_WATCH_S),
            )
            return _reply_snapshot(start_response, found)
        if path.startswith("/v1/weights/"):
            return wsgi_io.reply_json(start_response, 200, {"loaded": path})
        if not path.startswith(OBJECT_PATH_PREFIX):
            raise _errors.NotFoundError(f"no route matches {path!r}")
        key = path[len(OBJECT_PATH_PREFIX) :]
        if environ["REQUEST_METHOD"] == "GET":
            found = self.store.get(key)
            return wsgi_io.reply_bytes(
                start_response,
                200,
                found.value,
                headers=[("ETag", f'"{found.version}"')],
            )
        return self._write_object(key, environ, start_response)

    def _write_object(
        self, key: str, environ: dict[str, Any], start_response: Callable
    ) -> list[bytes]:
        expected = environ.get("HTTP_IF_MATCH", "").strip('"')
        version = 0
        if environ["REQUEST_METHOD"] == "DELETE":
            self.store.delete(key, expected_version=int(expected))
        else:
            length = int(environ.get("CONTENT_LENGTH") or 0)
            value = environ["wsgi.input"].read(length)
            if len(value) != length:
                # The client closed the connection while it sent the body. A
                # truncated value must not be stored.
                raise ValueError(
                    f"body truncated: got {len(value)} of {length} bytes"
                )
            if expected:
                version = self.store.update(
                    key, value, expected_version=int(expected)
                )
            else:
                version = self.store.create(key, value)
        if self._consume_lost_reply():
            return wsgi_io.reply_json(start_response, 504, {"error": "lost"})
        return wsgi_io.reply_json(
            start_response, 200, {}, headers=[("ETag", f'"{version}"')]
        )

    def _consume_lost_reply(self) -> bool:
        """Return whether to lose this reply; if so, reduce ``lost_replies``."""
        with self._lock:
            if not self._faults.lost_replies:
                return False
            self._faults = self._faults._replace(
                lost_replies=self._faults.lost_replies - 1
            )
            return True

    def _handle_admin_request(
        self, path: str, environ: dict[str, Any], start_response: Callable
    ) -> list[bytes]:
        if path == "/admin/counts":
            return wsgi_io.reply_json(start_response, 200, dict(self._counts))
        changes = wsgi_io.read_json(environ) or {}
        faults = {**self._faults._asdict(), **changes}
        self._set_faults(platform_faults.PlatformFaults(**faults))
        return wsgi_io.reply_json(start_response, 200, self._faults._asdict())


def _reply_snapshot(
    start_response: Callable, found: snapshot.Snapshot
) -> list[bytes]:
    entries = [
        msgspec.to_builtins(
            http_client.WireEntry(
                item.key,
                None if item.value is None else item.value.decode("latin-1"),
                item.version,
            )
        )
        for item in found.entries
    ]
    version = (http_client.STORE_VERSION_HEADER, str(found.version))
    return wsgi_io.reply_json(start_response, 200, entries, headers=[version])


def _create_bucket(rate_per_s: float) -> token_bucket.TokenBucket:
    """Return a rate limiter whose burst is the actions of one second."""
    return token_bucket.TokenBucket(
        rate_per_s=rate_per_s, burst=max(1.0, rate_per_s)
    )
