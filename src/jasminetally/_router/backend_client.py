"""HTTP client for backend servers."""

from __future__ import annotations

import collections
import select
import socket
import threading
import time
from typing import TYPE_CHECKING
from typing import NamedTuple
from urllib import parse

import msgspec
import urllib3
from urllib3.util import connection

from jasminetally._router import stream_fault
from jasminetally._shared import whole_reply

if TYPE_CHECKING:
    from collections.abc import Mapping

CONNECT_TIMEOUT_S = 1.0
CONTROL_CALL_TIMEOUT_S = 1.0
# Most servers close an idle connection after some seconds. A request sent at
# that moment fails although its bytes were sent, so that it may have run;
# connections idle for longer are not reused.
MAX_IDLE_S = 2.0
MAX_IDLE_CONNECTIONS_PER_SERVER = 16


class ServiceReply(NamedTuple):
    """Whole response of a plain service.

    Attributes:
        status: HTTP status code.
        content_type: Content type of the body.
        body: Body.
        echoed_id: Request id that the service echoed; empty if it did not.
        not_run: Whether the service states that it did not run the request.
    """

    status: int
    content_type: str
    body: bytes
    echoed_id: str
    not_run: bool


class BackendClient:
    """Open streams on engines and call plain services.

    Streams use plain sockets, since the relay reads them without blocking.
    Whole calls use a urllib3 connection pool, which also takes bodies that end
    with the connection: HTTP allows servers to send them, and of the calls that
    read JSON objects, a cut one can't be decoded. The class is safe for use by
    several threads.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._idle: dict[str, collections.deque] = {}
        self._pool = whole_reply.make_pool_manager(
            allow_unframed=True, num_pools=256, maxsize=8, retries=False
        )

    def start_stream(
        self,
        address: str,
        stream: str,
        body: bytes,
        *,
        priority: int,
        fresh_connection: bool,
    ) -> socket.socket:
        """Send a chat request and return the non-blocking connection.

        Args:
            address: ``ip:port`` of the engine.
            stream: Id under which the engine keeps the stream and which it
                echoes.
            body: JSON body.
            priority: Priority at the engine; lower values run first.
            fresh_connection: Open a new connection instead of reusing an idle
                one.

        Raises:
            StreamFaultError: ``CONNECT`` if nothing was sent, ``RESET`` if
                bytes may have been sent.
        """
        head = (
            f"POST /v1/chat/completions HTTP/1.1\r\nHost: {address}\r\n"
            "Content-Type: application/json\r\n"
            f"Content-Length: {len(body)}\r\n"
            f"X-Request-Id: {stream}\r\nX-Priority: {priority}\r\n\r\n"
        )
        conn = None if fresh_connection else self._reuse_connection(address)
        return _send_request(
            conn or _open_connection(address), head.encode() + body
        )

    def resume_stream(
        self, address: str, stream: str, *, from_index: int
    ) -> socket.socket:
        """Ask an engine to continue a stream and return the connection.

        Args:
            address: ``ip:port`` of the engine.
            stream: Id of the stream.
            from_index: Index of the first event to send.

        Raises:
            StreamFaultError: As in ``start_stream``.
        """
        head = (
            f"GET /v1/streams/{parse.quote(stream, safe='')}?from={from_index} "
            f"HTTP/1.1\r\nHost: {address}\r\n\r\n"
        )
        return _send_request(_open_connection(address), head.encode())

    def return_connection(self, address: str, conn: socket.socket) -> None:
        """Keep a connection whose response was read completely, for reuse."""
        with self._lock:
            idle = self._idle.setdefault(address, collections.deque())
            idle.append((conn, time.monotonic()))
            if len(idle) <= MAX_IDLE_CONNECTIONS_PER_SERVER:
                return
            conn, _ = idle.popleft()
        conn.close()

    def close_idle(self, address: str) -> None:
        """Close the idle connections to a backend server."""
        with self._lock:
            idle = self._idle.pop(address, ())
        for conn, _ in idle:
            conn.close()

    def cancel_stream(self, address: str, stream: str) -> int | None:
        """Cancel a stream on an engine.

        Returns:
            Tokens of prompt and answer that were processed; None if the engine
            did not report them.
        """
        try:
            response = self._pool.request(
                "DELETE",
                f"http://{address}/v1/streams/{parse.quote(stream, safe='')}",
                timeout=CONTROL_CALL_TIMEOUT_S,
            )
            if response.status != 200:
                return None
            return int(msgspec.json.decode(response.data)["tokens"])
        except (urllib3.exceptions.HTTPError, msgspec.DecodeError, KeyError):
            return None

    def read_json(self, address: str, path: str) -> dict | None:
        """Return a JSON object that a backend server reports.

        Returns:
            The object; None if the server could not be reached or sent no JSON
            object.
        """
        try:
            response = self._pool.request(
                "GET",
                f"http://{address}{path}",
                timeout=CONTROL_CALL_TIMEOUT_S,
            )
            if response.status != 200:
                return None
            return msgspec.json.decode(response.data, type=dict)
        except (urllib3.exceptions.HTTPError, msgspec.DecodeError):
            return None

    def call_service(
        self,
        address: str,
        path: str,
        body: bytes,
        *,
        request_id: str,
        headers: Mapping[str, str],
        timeout_s: float,
    ) -> ServiceReply:
        """Send a POST request to a plain service and return its response.

        Args:
            address: ``ip:port`` of the service.
            path: Path with query, quoted.
            body: Body.
            request_id: Request id, which the service echoes.
            headers: Further headers.
            timeout_s: Read timeout, seconds.

        Raises:
            StreamFaultError: ``CONNECT`` if nothing was sent, ``SILENT`` or
                ``RESET`` if the call may have run.
        """
        timeout = urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=timeout_s)
        try:
            response = self._pool.request(
                "POST",
                f"http://{address}{path}",
                body=body,
                headers={
                    **headers,
                    "X-Request-Id": request_id,
                    "Connection": "close",
                },
                timeout=timeout,
            )
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ) as exc:
            raise _stream_fault("CONNECT", address, exc) from exc
        except urllib3.exceptions.TimeoutError as exc:
            raise _stream_fault("SILENT", address, exc) from exc
        except urllib3.exceptions.HTTPError as exc:
            raise _stream_fault("RESET", address, exc) from exc
        return ServiceReply(
            response.status,
            response.headers.get("Content-Type", "application/octet-stream"),
            response.data,
            response.headers.get("X-Request-Id", ""),
            "X-Not-Run" in response.headers,
        )

    def close(self) -> None:
        """Close all idle connections."""
        with self._lock:
            addresses = list(self._idle)
        for address in addresses:
            self.close_idle(address)
        self._pool.clear()

    def _reuse_connection(self, address: str) -> socket.socket | None:
        oldest_idle_s = time.monotonic() - MAX_IDLE_S
        while True:
            with self._lock:
                idle = self._idle.get(address)
                if not idle:
                    return None
                conn, idle_since_s = idle.pop()
            if (
                idle_since_s >= oldest_idle_s
                and not select.select([conn], [], [], 0)[0]
            ):
                return conn
            # The connection was idle for too long, was closed by the server, or
            # has bytes that belong to no request.
            conn.close()


def _open_connection(address: str) -> socket.socket:
    host, _, port = address.rpartition(":")
    try:
        conn = connection.create_connection(
            (host.strip("[]"), int(port)), timeout=CONNECT_TIMEOUT_S
        )
    except OSError as exc:
        raise _stream_fault("CONNECT", address, exc) from exc
    conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return conn


def _send_request(conn: socket.socket, data: bytes) -> socket.socket:
    conn.settimeout(CONNECT_TIMEOUT_S)
    try:
        conn.sendall(data)
    except OSError as exc:
        conn.close()
        raise _stream_fault("RESET", "server", exc) from exc
    conn.setblocking(False)
    return conn


def _stream_fault(
    kind: str, address: str, exc: Exception
) -> stream_fault.StreamFaultError:
    return stream_fault.StreamFaultError(
        f"{address}: {exc or type(exc).__name__}", kind=kind
    )
