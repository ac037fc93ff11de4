"""HTTP server for WSGI applications that runs on background threads."""

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
    """Serve a WSGI application on one address with a pool of threads.

    Args:
        app: WSGI application.
        host: IP address to bind.
        port: TCP port; 0 lets the operating system choose a free one.
        threads: Number of worker threads. Each request occupies one until its
            response ends, so a streamed response occupies one throughout.
        socket_timeout_s: Longest wait in seconds for a single read from or
            write to a connection; idle connections are closed after it, too.
        body_limit_bytes: Largest accepted request body; 0 for no limit.
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
        """Address in the form ``ip:port``.

        With port 0 the port is known only after ``start``.
        """
        host, port = self._server.bind_addr[:2]
        return f"{host}:{port}"

    def start(self) -> None:
        """Bind the address and serve requests on background threads."""
        self._server.prepare()
        self._thread.start()

    def stop(self) -> None:
        """Close the listening socket and stop the worker threads.

        Requests in flight have ``SHUTDOWN_TIMEOUT_S`` to end; after that,
        their connections are shut down for reading.
        """
        self._server.stop()
        self._thread.join(SHUTDOWN_TIMEOUT_S)
