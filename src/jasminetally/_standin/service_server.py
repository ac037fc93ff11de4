"""Stand-in for a backend server that is a plain HTTP service."""

from __future__ import annotations

import collections
import errno
import hashlib
import threading
import time
from typing import TYPE_CHECKING
from typing import Any

from jasminetally._http import http_server
from jasminetally._http import wsgi_io
from jasminetally._standin import service_faults

if TYPE_CHECKING:
    from collections.abc import Callable


class ServiceServer:
    """HTTP server that answers any path and counts runs by request id.

    The answer states the method, path and body hash that were received, so
    that a test can check that the request arrived unchanged. Routes:
    ``POST /admin/faults`` (fields of ``ServiceFaults``; fields not given stay
    as they are), ``GET /admin/runs`` (runs by request id), and any other path,
    which runs a request.

    Args:
        name: Backend server name.
        host: IP address to bind.
        port: TCP port; 0 lets the system choose one.
    """

    def __init__(
        self, *, name: str = "service", host: str = "127.0.0.1", port: int = 0
    ) -> None:
        self.name = name
        self._lock = threading.Lock()
        self._faults = service_faults.ServiceFaults()
        self._runs: collections.Counter[str] = collections.Counter()
        self._server = http_server.HttpServer(
            self._handle_request, host=host, port=port
        )

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

    def _handle_request(
        self, environ: dict[str, Any], start_response: Callable
    ) -> list[bytes]:
        path = environ["PATH_INFO"]
        if path == "/admin/runs":
            return wsgi_io.reply_json(start_response, 200, dict(self._runs))
        if path == "/admin/faults":
            changes = wsgi_io.read_json(environ) or {}
            self._faults = self._faults._replace(**changes)
            return wsgi_io.reply_json(
                start_response, 200, self._faults._asdict()
            )
        if self._faults.draining:
            return wsgi_io.reply_json(
                start_response,
                503,
                {"error": {"code": "draining"}},
                headers=[("X-Not-Run", "1"), ("Retry-After", "1")],
            )
        return self._run_request(path, environ, start_response)

    def _run_request(
        self, path: str, environ: dict[str, Any], start_response: Callable
    ) -> list[bytes]:
        request_id = environ.get("HTTP_X_REQUEST_ID", "")
        body = environ["wsgi.input"].read(
            int(environ.get("CONTENT_LENGTH") or 0)
        )
        with self._lock:
            self._runs[request_id] += 1
            run = self._runs[request_id]
            loses_reply = self._faults.lost_replies > 0
            if loses_reply:
                remaining = self._faults.lost_replies - 1
                self._faults = self._faults._replace(lost_replies=remaining)
        time.sleep(self._faults.delay_s)
        if loses_reply:
            # The HTTP server closes the connection without a reply.
            raise ConnectionAbortedError(
                errno.ECONNABORTED, "reply dropped by the fault lost_replies"
            )
        answer = {
            "service": self.name,
            "method": environ["REQUEST_METHOD"],
            "path": path,
            "body_sha256": hashlib.sha256(body).hexdigest(),
            "run": run,
        }
        return wsgi_io.reply_json(
            start_response, 200, answer, headers=[("X-Request-Id", request_id)]
        )
