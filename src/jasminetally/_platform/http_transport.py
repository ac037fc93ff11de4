"""HTTP requests to a platform's store."""

from __future__ import annotations

import socket
import threading
import time

import urllib3

from jasminetally import _errors
from jasminetally._shared import retry_after
from jasminetally._shared import whole_number
from jasminetally._shared import whole_reply

CONNECT_TIMEOUT_S = 1.0
READ_TIMEOUT_S = 2.0
DEFAULT_RETRY_AFTER_S = 0.1
# No data passes on the connection of a waiting watch, so its long read timeout
# would detect a dead connection late. The operating system probes idle
# connections after 1 s and then each second, and closes them when the peer
# acknowledges nothing (TCP_USER_TIMEOUT is in milliseconds).
SOCKET_OPTIONS = (
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, 2_500),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2),
)


class HttpTransport:
    """Send requests over pooled connections to one address.

    Failures are raised as subclasses of ``PlatformError``. Requests are not
    retried. Replies must state a length or come in chunks: stores know the
    length of what they send, and without it a cut body looks whole. Safe for
    use by several threads.

    Args:
        address: Platform address in the form ``ip:port``.
        connect_timeout_s: Seconds to wait for a connection.
        read_timeout_s: Seconds to wait for data of a reply.
        connections: Maximum number of connections kept open for reuse.
        era_header: Header of all replies with the era of the store; None if
            the platform has none.

    Attributes:
        era: Highest era of a reply; 0 before the first.
    """

    def __init__(
        self,
        address: str,
        *,
        era_header: str | None = None,
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
        read_timeout_s: float = READ_TIMEOUT_S,
        connections: int = 8,
    ) -> None:
        host, port = address.rsplit(":", 1)
        self._connect_timeout_s = connect_timeout_s
        self._read_timeout_s = read_timeout_s
        self.era = 0
        self._era_seen = False
        self._era_header = era_header
        self._era_lock = threading.Lock()
        self._make_pool = lambda: whole_reply.make_pool(
            host,
            int(port),
            maxsize=connections,
            retries=False,
            socket_options=SOCKET_OPTIONS,
        )
        self._pool = self._make_pool()

    def request(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
        *,
        read_timeout_s: float | None = None,
    ) -> urllib3.BaseHTTPResponse:
        """Send a request and return the reply.

        Args:
            method: HTTP method.
            path: Path with the query.
            body: Request body; None to send none.
            headers: Additional request headers.
            read_timeout_s: Seconds to wait for data of the reply, instead of
                the timeout given at construction.

        Raises:
            PlatformUnavailableError: No connection could be opened, or the
                status is 503; the request was not applied.
            OutcomeUnknownError: No complete reply was received, the reply is
                of an earlier era of the store or lacks the era that earlier
                replies had, or the status is another of 500 and above; the
                request may have been applied.
            NotFoundError: The status is 404.
            HistoryLostError: The status is 410.
            VersionConflictError: The status is 409 or 412.
            RateLimitedError: The status is 429.
            PlatformError: The status is another of 300 and above.
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
                f"cannot connect to the platform for {method} {path}: {exc}"
            ) from exc
        except urllib3.exceptions.HTTPError as exc:
            if isinstance(exc, urllib3.exceptions.ReadTimeoutError):
                # What has silenced this connection may have silenced others.
                self.distrust_connections()
            raise _errors.OutcomeUnknownError(
                f"no complete reply from the platform to {method} {path}, "
                f"outcome unknown: {exc}"
            ) from exc
        self._check_era(response, method, path)
        return _raise_for_status(response, method, path)

    def distrust_connections(self) -> None:
        """Use new connections from now on; requests under way go on."""
        pool, self._pool = self._pool, self._make_pool()
        pool.close()

    def _check_era(
        self, response: urllib3.BaseHTTPResponse, method: str, path: str
    ) -> None:
        """Update the era; raise ``OutcomeUnknownError`` for an earlier one.

        A store that has named an era names it in all replies.
        """
        if self._era_header is None:
            return
        text = response.headers.get(self._era_header, "")
        era = whole_number.parse(text)
        with self._era_lock:
            if era is None and not self._era_seen:
                return
            self._era_seen = True
            self.era = max(self.era, era or 0)
        if era is None:
            raise _errors.OutcomeUnknownError(
                f"reply to {method} {path} names no era of the store"
            )
        if era < self.era:
            raise _errors.OutcomeUnknownError(
                f"reply to {method} {path} is of era {text} of the store, "
                f"which is in era {self.era}"
            )

    def close(self) -> None:
        """Close all connections."""
        self._pool.close()


def _raise_for_status(
    response: urllib3.BaseHTTPResponse, method: str, path: str
) -> urllib3.BaseHTTPResponse:
    if response.status < 300:
        return response
    message = (
        f"platform replied to {method} {path} with status {response.status}"
    )
    match response.status:
        case 404:
            raise _errors.NotFoundError(message)
        case 410:
            raise _errors.HistoryLostError(message)
        case 409 | 412:
            raise _errors.VersionConflictError(message)
        case 429:
            text = response.headers.get("Retry-After")
            retry_after_s = DEFAULT_RETRY_AFTER_S
            if text is not None:
                retry_after_s = retry_after.parse(
                    text, time_of_day_s=time.time()
                ).delay_s
            raise _errors.RateLimitedError(message, retry_after_s=retry_after_s)
        case 503:
            raise _errors.PlatformUnavailableError(message)
        case status if status >= 500:
            raise _errors.OutcomeUnknownError(message)
        case _:
            raise _errors.PlatformError(message)
