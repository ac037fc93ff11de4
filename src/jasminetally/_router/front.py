"""HTTP front towards callers."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING

import cheroot.server
from loguru import logger

from jasminetally import _errors
from jasminetally._http import error_reply
from jasminetally._router import exchange
from jasminetally._router import slow_senders

if TYPE_CHECKING:
    from collections.abc import Callable

# A request in flight occupies a thread. Threads are added when fewer than the
# reserve are idle, so that a small router stays small.
FIRST_THREADS = 8
IDLE_RESERVE = 4
# Threads beyond the limit of requests in flight, which refuse further ones.
EXTRA_THREADS = 16
READ_TIMEOUT_S = 10
SENDING_LIMIT_S = 30.0
SHUTDOWN_TIMEOUT_S = 5


class Front:
    """Serve callers over HTTP/1.1.

    Args:
        handler: Answers one exchange; an error that it raises before the
            response has started becomes the response.
        host: IP address to bind.
        port: TCP port; 0 lets the system choose one.
        in_flight_limit: Requests served at the same time.
        connection_limit: Idle connections kept open.
        body_limit_bytes: Largest accepted body.
        header_limit_bytes: Largest accepted head.
        sending_limit_s: Longest time that a caller may take to send a request.
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
        sending_limit_s: float = SENDING_LIMIT_S,
    ) -> None:
        self._handler = handler
        self._body_limit_bytes = body_limit_bytes
        self._senders = slow_senders.SlowSenders(limit_s=sending_limit_s)
        self._stopped = threading.Event()
        self._low_on_threads = threading.Event()
        self._server = cheroot.server.HTTPServer(
            (host, port),
            gateway=self._gateway(),
            minthreads=FIRST_THREADS,
            maxthreads=in_flight_limit + EXTRA_THREADS,
            server_name="jasminetally",
        )
        server = self._server
        server.request_queue_size = 1024
        server.timeout = READ_TIMEOUT_S
        server.shutdown_timeout = SHUTDOWN_TIMEOUT_S
        server.max_request_header_size = header_limit_bytes
        server.keep_alive_conn_limit = connection_limit
        server.error_log = _log_error
        server.ConnectionClass = self._connection_class()
        self._threads = [
            threading.Thread(target=run, name=name, daemon=True)
            for name, run in (
                ("front", server.serve),
                ("front-upkeep", self._keep_up),
            )
        ]

    @property
    def address(self) -> str:
        """Address in the form ``ip:port``; known after ``start``."""
        host, port = self._server.bind_addr[:2]
        return f"{host}:{port}"

    def start(self) -> None:
        """Bind the address and begin to serve."""
        self._server.prepare()
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Close the listening socket and end the threads."""
        self._stopped.set()
        self._low_on_threads.set()
        self._server.stop()
        for thread in self._threads:
            thread.join(SHUTDOWN_TIMEOUT_S)

    def _keep_up(self) -> None:
        while not self._stopped.is_set():
            self._low_on_threads.wait(slow_senders.CHECK_INTERVAL_S)
            self._low_on_threads.clear()
            self._senders.check()
            if self._missing_threads() > 0:
                # cheroot waits up to 0.1 s for new threads to start, so a
                # burst needs few steps: each doubles the pool.
                pool = self._server.requests
                pool.grow(max(self._missing_threads(), len(pool._threads)))

    def _missing_threads(self) -> int:
        pool = self._server.requests
        return pool.qsize + IDLE_RESERVE - pool.idle

    def _gateway(self) -> type:
        front = self

        class Gateway(cheroot.server.Gateway):
            """Pass each request to the front."""

            def respond(self) -> None:
                front._respond(self.req)

        return Gateway

    def _connection_class(self) -> type:
        senders = self._senders

        class Request(cheroot.server.HTTPRequest):
            """Request whose arrival is limited in time."""

            def parse_request(self) -> None:
                senders.begin(self.conn.socket)
                super().parse_request()
                if not self.ready:
                    senders.end(self.conn.socket)

        class Connection(cheroot.server.HTTPConnection):
            """Connection that uses the limited requests."""

            RequestHandlerClass = Request

        return Connection

    def _respond(self, req: cheroot.server.HTTPRequest) -> None:
        if self._missing_threads() > 0:
            self._low_on_threads.set()
        conn = req.conn.socket
        exch = exchange.Exchange(
            req,
            body_limit_bytes=self._body_limit_bytes,
            on_body_read=lambda: self._senders.end(conn),
        )
        try:
            self._handler(exch)
        except _errors.CallerError as exc:
            self._send_error(exch, exc)
        except OSError:
            exch.abort()
        except Exception:
            logger.exception("http: {} {} failed", exch.method, exch.path)
            self._send_error(
                exch,
                _errors.CallerError(
                    "internal error", status=500, code="internal_error"
                ),
            )
        finally:
            self._senders.end(conn)

    def _send_error(
        self, exch: exchange.Exchange, exc: _errors.CallerError
    ) -> None:
        if exch.started:
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
