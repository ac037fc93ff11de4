"""HTTP server for callers."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING

import cheroot.server
from loguru import logger

from jasminetally import _errors
from jasminetally._http import error_reply
from jasminetally._router import exchange
from jasminetally._router import receive_deadlines

if TYPE_CHECKING:
    from collections.abc import Callable

# A request in flight occupies a thread. Threads are added when fewer than
# MIN_IDLE_THREADS are idle, so that a router with little load uses little
# memory.
MIN_THREADS = 8
MIN_IDLE_THREADS = 4
# Threads beyond the limit of requests in flight, which send the errors for
# further requests.
REFUSAL_THREADS = 16
SOCKET_READ_TIMEOUT_S = 10
RECEIVE_TIMEOUT_S = 30.0
SHUTDOWN_TIMEOUT_S = 5


class HttpFrontend:
    """Serve callers over HTTP/1.1.

    Args:
        handler: Answers one exchange. An error that it raises before the head
            of the response is sent becomes the response.
        host: IP address to bind.
        port: TCP port; 0 lets the system choose one.
        in_flight_limit: Largest number of requests served at the same time.
        connection_limit: Largest number of idle connections kept open.
        body_limit_bytes: Largest accepted body.
        header_limit_bytes: Largest accepted head.
        receive_timeout_s: Longest time that a request may take to arrive,
            seconds.
    """

    def __init__(
        self,
        handler: Callable[[exchange.Exchange], None],
        *,
        host: str,
        port: int,
        in_flight_limit: int,
        connection_limit: int,
        body_limit_bytes: int,
        header_limit_bytes: int,
        receive_timeout_s: float = RECEIVE_TIMEOUT_S,
    ) -> None:
        self._handler = handler
        self._body_limit_bytes = body_limit_bytes
        self._receive_deadlines = receive_deadlines.ReceiveDeadlines(
            limit_s=receive_timeout_s
        )
        self._stopped = threading.Event()
        self._threads_needed = threading.Event()
        self._server = cheroot.server.HTTPServer(
            (host, port),
            gateway=self._gateway_class(),
            minthreads=MIN_THREADS,
            maxthreads=in_flight_limit + REFUSAL_THREADS,
            server_name="jasminetally",
        )
        server = self._server
        server.request_queue_size = 1024
        server.timeout = SOCKET_READ_TIMEOUT_S
        server.shutdown_timeout = SHUTDOWN_TIMEOUT_S
        server.max_request_header_size = header_limit_bytes
        server.keep_alive_conn_limit = connection_limit
        server.error_log = _log_error
        server.ConnectionClass = self._connection_class()
        self._threads = [
            threading.Thread(target=run, name=name, daemon=True)
            for name, run in (
                ("front", server.serve),
                ("front-upkeep", self._run_upkeep),
            )
        ]

    @property
    def address(self) -> str:
        """Bound address in the form ``ip:port``; known after ``start``."""
        host, port = self._server.bind_addr[:2]
        return f"{host}:{port}"

    def start(self) -> None:
        """Bind the address and begin to serve."""
        self._server.prepare()
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Close the listening socket and stop the threads."""
        self._stopped.set()
        self._threads_needed.set()
        self._server.stop()
        for thread in self._threads:
            thread.join(SHUTDOWN_TIMEOUT_S)

    def _run_upkeep(self) -> None:
        while not self._stopped.is_set():
            self._threads_needed.wait(receive_deadlines.CHECK_INTERVAL_S)
            self._threads_needed.clear()
            self._receive_deadlines.enforce_deadlines()
            if self._missing_threads() > 0:
                # cheroot waits up to 0.1 s for new threads to start. Each step
                # doubles the pool, so that a burst needs few steps.
                pool = self._server.requests
                pool.grow(max(self._missing_threads(), len(pool._threads)))

    def _missing_threads(self) -> int:
        pool = self._server.requests
        return pool.qsize + MIN_IDLE_THREADS - pool.idle

    def _gateway_class(self) -> type:
        frontend = self

        class Gateway(cheroot.server.Gateway):
            """Pass each request to the frontend."""

            def respond(self) -> None:
                frontend._respond(self.req)

        return Gateway

    def _connection_class(self) -> type:
        deadlines = self._receive_deadlines

        class Request(cheroot.server.HTTPRequest):
            """Request that has to arrive before a deadline."""

            def parse_request(self) -> None:
                deadlines.start_deadline(self.conn.socket)
                super().parse_request()
                if not self.ready:
                    deadlines.clear_deadline(self.conn.socket)

        class Connection(cheroot.server.HTTPConnection):
            """Connection whose requests have a receive deadline."""

            RequestHandlerClass = Request

        return Connection

    def _respond(self, req: cheroot.server.HTTPRequest) -> None:
        if self._missing_threads() > 0:
            self._threads_needed.set()
        conn = req.conn.socket
        exch = exchange.Exchange(
            req,
            body_limit_bytes=self._body_limit_bytes,
            on_body_read=lambda: self._receive_deadlines.clear_deadline(conn),
        )
        try:
            self._handler(exch)
        except _errors.CallerError as exc:
            self._send_error(exch, exc)
        except OSError:
            exch.abort()
        except Exception:
            logger.exception(
                "http: {} {} failed with an unexpected error",
                exch.method,
                exch.path,
            )
            self._send_error(
                exch,
                _errors.CallerError(
                    "internal error", status=500, code="internal_error"
                ),
            )
        finally:
            self._receive_deadlines.clear_deadline(conn)

    def _send_error(
        self, exch: exchange.Exchange, exc: _errors.CallerError
    ) -> None:
        if exch.head_sent:
            exch.abort()
            return
        exch.send(
            exc.status,
            error_reply.encode_body(exc),
            headers=error_reply.headers(exc),
        )


def _log_error(msg: str = "", level: int = 20, traceback: bool = False) -> None:
    logger.opt(exception=traceback).log(
        "WARNING" if level >= 30 else "DEBUG", "http: {}", msg
    )
