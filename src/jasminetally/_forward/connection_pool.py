"""Pool of connections to backend servers."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import time

from jasminetally import _errors
from jasminetally._forward import server_connection
from jasminetally._placing import connection_history
from jasminetally._shared import stall_tolerant

# A handshake takes about a millisecond; a server that does not accept within
# this time is unreachable or overloaded.
CONNECT_TIMEOUT_S = 0.4
# Idle time after which a connection is not used for requests that must not be
# repeated: the server may close it at the moment the request is sent, and then
# it is unknown whether the request ran.
NON_REPEATABLE_IDLE_LIMIT_S = 2.5
# Time after which a new connection counts as reaching its server: one that is
# not wanted may be accepted and reset at once.
RESET_CHECK_S = 0.05


class ConnectionPool:
    """Keeps idle connections by server address and opens new ones.

    Args:
        history: Receives the outcomes of new connections, if given.
        patience: Returns the factor by which to wait longer for handshakes
            than usual, if given.

    Attributes:
        connections_opened: Number of connections that were opened or tried to
            be opened, for the metrics.
    """

    def __init__(
        self,
        history: connection_history.ConnectionHistory | None = None,
        patience: Callable[[], float] = lambda: 1.0,
    ) -> None:
        self._patience = patience
        self._history = history or connection_history.ConnectionHistory()
        self.connections_opened = 0
        self._idle: dict[str, list[server_connection.ServerConnection]] = {}
        self._leased: dict[str, set[server_connection.ServerConnection]] = {}

    async def lease(
        self, address: str, *, repeatable: bool, fresh: bool = False
    ) -> server_connection.ServerConnection:
        """Return a connection for one request, an idle one if possible.

        Args:
            address: ``ip:port`` of the server.
            repeatable: Whether the request may be sent again if the server
                turns out to have closed the connection.
            fresh: Whether to use no idle connection: the responses to an
                earlier attempt have the same request id.

        Raises:
            ServerUnreachableError: No connection could be opened, so nothing
                was sent.
        """
        conn = None
        if not fresh:
            conn = self._take_idle(address, repeatable=repeatable)
        if conn is None:
            conn = await self._open_connection(address)
        self._leased.setdefault(address, set()).add(conn)
        return conn

    async def refuses_connections(self, address: str) -> bool:
        """Open a connection; return whether the server refuses it.

        A connection that is opened is kept for later requests.

        Args:
            address: ``ip:port`` of the server.
        """
        failure = await self._try_to_connect(address)
        return isinstance(failure, ConnectionRefusedError)

    async def reaches(self, address: str) -> bool:
        """Open a connection; return whether the server keeps it open.

        The connection is kept for later requests.

        Args:
            address: ``ip:port`` of the server.
        """
        try:
            conn = await self._open_connection(address)
        except _errors.ServerUnreachableError:
            return False
        await asyncio.sleep(RESET_CHECK_S)
        reached = conn.reusable
        self._note_outcome(address, reached=reached)
        self.release(address, conn)
        return reached

    async def answers_handshake(self, address: str) -> bool:
        """Open a connection; return whether the server accepts or refuses it.

        A connection that is opened is kept for later requests.

        Args:
            address: ``ip:port`` of the server.
        """
        failure = await self._try_to_connect(address)
        return not isinstance(failure, TimeoutError)

    def has_idle(self, address: str) -> bool:
        """Return whether a connection to a server is kept for a request."""
        return bool(self._idle.get(address))

    def release(
        self, address: str, conn: server_connection.ServerConnection
    ) -> None:
        """Return a connection to the pool, or close it if it is not reusable.

        Args:
            address: ``ip:port`` of the server.
            conn: The connection.
        """
        self._end_lease(address, conn)
        if conn.sent_requests == 1 and (conn.answered or conn.lost):
            self._note_outcome(address, reached=conn.answered)
        if not conn.reusable or conn.idle_timeout_s <= 0:
            conn.close()
            return
        conn.leased = False
        conn.idle_since_s = time.monotonic()
        self._idle.setdefault(address, []).append(conn)

    def discard(
        self, address: str, conn: server_connection.ServerConnection
    ) -> None:
        """Close a leased connection instead of returning it.

        Args:
            address: ``ip:port`` of the server.
            conn: The connection.
        """
        self._end_lease(address, conn)
        conn.close()

    def reset_all(self, address: str, reason: str) -> None:
        """Reset all connections to a server, those of requests too.

        Args:
            address: ``ip:port`` of the server.
            reason: Cause, for the log.
        """
        for conn in list(self._leased.get(address, ())):
            conn.reset(reason)
        self.close_idle(address)

    def close_idle(self, address: str) -> None:
        """Close all idle connections to a server.

        Args:
            address: ``ip:port`` of the server.
        """
        for conn in self._idle.pop(address, []):
            conn.close()

    def close_expired(self) -> None:
        """Close all connections whose idle timeout has expired."""
        now_s = time.monotonic()
        for idle in self._idle.values():
            expired = [
                conn
                for conn in idle
                if now_s - conn.idle_since_s > conn.idle_timeout_s
            ]
            for conn in expired:
                idle.remove(conn)
                conn.close()

    def _take_idle(
        self, address: str, *, repeatable: bool
    ) -> server_connection.ServerConnection | None:
        """Return an idle connection that may be used; None if there is none."""
        idle = self._idle.get(address, [])
        now_s = time.monotonic()
        while idle:
            conn = idle.pop()
            limit_s = conn.idle_timeout_s
            if not repeatable:
                limit_s = min(limit_s, NON_REPEATABLE_IDLE_LIMIT_S)
            if conn.reusable and now_s - conn.idle_since_s <= limit_s:
                conn.leased = True
                return conn
            if now_s - conn.idle_since_s > conn.idle_timeout_s:
                conn.close()
                continue
            # The other connections have been idle for even longer.
            idle.append(conn)
            break
        return None

    async def _try_to_connect(self, address: str) -> BaseException | None:
        """Open a connection and keep it; return why it could not be opened."""
        try:
            conn = await self._open_connection(address)
        except _errors.ServerUnreachableError as exc:
            return exc.__cause__
        self.release(address, conn)
        return None

    async def _open_connection(
        self, address: str
    ) -> server_connection.ServerConnection:
        host, port = address.rsplit(":", 1)
        loop = asyncio.get_running_loop()
        self.connections_opened += 1
        began_s = time.monotonic()
        try:
            _, conn = await stall_tolerant.wait_for(
                loop.create_connection(
                    lambda: server_connection.ServerConnection(
                        self._remove_connection
                    ),
                    host,
                    int(port),
                ),
                CONNECT_TIMEOUT_S * self._patience(),
            )
        except (OSError, TimeoutError) as exc:
            self._note_outcome(address, reached=False)
            reason = str(exc) or "no answer to the TCP handshake in time"
            raise _errors.ServerUnreachableError(
                f"no connection to backend server {address}: {reason}"
            ) from exc
        conn.connect_began_s = began_s
        return conn

    def _end_lease(
        self, address: str, conn: server_connection.ServerConnection
    ) -> None:
        leased = self._leased.get(address, set())
        leased.discard(conn)
        if not leased:
            self._leased.pop(address, None)

    def _note_outcome(self, address: str, *, reached: bool) -> None:
        """Note whether a new connection has worked."""
        note = self._history.on_reached if reached else self._history.on_failed
        note(address, time.monotonic())

    def _remove_connection(
        self, conn: server_connection.ServerConnection
    ) -> None:
        for idle in self._idle.values():
            if conn in idle:
                idle.remove(conn)
