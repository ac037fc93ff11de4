"""Calls over HTTP to a platform's store."""

from __future__ import annotations

import socket

import urllib3

from jasminetally import _errors

CONNECT_TIMEOUT_S = 1.0
READ_TIMEOUT_S = 2.0
DEFAULT_RETRY_AFTER_S = 0.1
# A waiting watch sends nothing; probes of the operating system end it when the
# connection went silent.
SOCKET_OPTIONS = (
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, 2_500),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2),
)


class HttpTransport:
    """Keep connections to one address and turn failures into errors.

    Safe for use by several threads.

    Args:
        address: Platform address in the form ``ip:port``.
        connect_timeout_s: Seconds to wait for a connection.
        read_timeout_s: Seconds to wait for a reply.
        connections: Connections kept open.
    """

    def __init__(
        self,
        address: str,
        *,
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
        read_timeout_s: float = READ_TIMEOUT_S,
        connections: int = 8,
    ) -> None:
        host, port = address.rsplit(":", 1)
        self._connect_timeout_s = connect_timeout_s
        self._read_timeout_s = read_timeout_s
        self._pool = urllib3.HTTPConnectionPool(
            host,
            int(port),
            maxsize=connections,
            retries=False,
            socket_options=SOCKET_OPTIONS,
        )

    def request(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
        *,
        read_timeout_s: float | None = None,
    ) -> urllib3.BaseHTTPResponse:
        """Return the reply to a call.

        Raises:
            PlatformError: The reply is an error, or there is none.
        """
        timeout = urllib3.Timeout(
            connect=self._connect_timeout_s,
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
        return _raise_for_status(response, method, path)

    def close(self) -> None:
        """Close all connections."""
        self._pool.close()


def _raise_for_status(
    response: urllib3.BaseHTTPResponse, method: str, path: str
) -> urllib3.BaseHTTPResponse:
    if response.status < 300:
        return response
    text = f"{method} {path}: status {response.status}"
    match response.status:
        case 404:
            raise _errors.NotFoundError(text)
        case 410:
            raise _errors.HistoryLostError(text)
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
