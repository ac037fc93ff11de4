"""HTTP server that runs in a thread of its own."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING

import cheroot.wsgi

if TYPE_CHECKING:
    from collections.abc import Callable

DEFAULT_WORKER_THREADS = 32
SOCKET_TIMEOUT_S = 10
SHUTDOWN_TIMEOUT_S = 5


class HttpServer:
    """Serve one WSGI application on one address.

    Args:
        app: WSGI application.
        host: IP address to bind.
        port: TCP port; 0 lets the system choose one.
        threads: Worker threads; an open stream occupies one.
        socket_timeout_s: Seconds that a caller may be silent while it sends.
        body_limit_bytes: Largest accepted body; 0 for no limit.
    """

    def __init__(
        self,
        app: Callable,
        *,
        host: str = "127.0.0.1",
        port: int = 0,
        threads: int = DEFAULT_WORKER_THREADS,
        socket_timeout_s: float = SOCKET_TIMEOUT_S,
        body_limit_bytes: int = 0,
    ) -> None:
        self._server = cheroot.wsgi.Server(
            (host, port),
            app,
            numthreads=threads,
            request_queue_size=1024,
            timeout=socket_timeout_s,
            shutdown_timeout=SHUTDOWN_TIMEOUT_S,
        )
        self._server.max_request_body_size = body_limit_bytes
        self._server.nodelay = True
        self._thread = threading.Thread(
            target=self._server.serve, name="http-accept", daemon=True
        )

    @property
    def address(self) -> str:
        """Address in the form ``ip:port``; known after ``start``."""
        host, port = self._server.bind_addr[:2]
        return f"{host}:{port}"

    def start(self) -> None:
        """Bind the address and begin to serve."""
        self._server.prepare()
        self._thread.start()

    def stop(self) -> None:
        """Close the listening socket and end the worker threads."""
        self._server.stop()
        self._thread.join(SHUTDOWN_TIMEOUT_S)
