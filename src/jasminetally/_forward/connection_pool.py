"""Kept connections to backend servers."""

from __future__ import annotations

import asyncio
import time

from jasminetally import _errors
from jasminetally._forward import server_connection

# A handshake takes a millisecond; a server that does not accept in this time
# is cut off or full.
CONNECT_TIMEOUT_S = 0.4
# Idle time after which a connection no longer carries a request that may run
# only once: the server may drop it at the moment the request is sent.
NON_REPEATABLE_IDLE_LIMIT_S = 2.5


class ConnectionPool:
    """Keep idle connections by server address and open new ones."""

    def __init__(self) -> None:
        self.connections_opened = 0
        self._idle: dict[str, list[server_connection.ServerConnection]] = {}

    async def lease(
        self, address: str, *, repeatable: bool
    ) -> server_connection.ServerConnection:
        """Return a connection for one request.

        Args:
            address: ``ip:port`` of the server.
            repeatable: The request may be sent again if the connection turns
                out to be closed.

        Raises:
            ServerUnreachableError: No connection could be opened, so nothing
                was sent.
        """
        kept = self._idle.get(address, [])
        now_s = time.monotonic()
        while kept:
            conn = kept.pop()
            limit_s = conn.idle_timeout_s
            if not repeatable:
                limit_s = min(limit_s, NON_REPEATABLE_IDLE_LIMIT_S)
            if conn.reusable and now_s - conn.idle_since_s <= limit_s:
                conn.leased = True
                return conn
            if now_s - conn.idle_since_s > conn.idle_timeout_s:
                conn.close()
                continue
            # Older ones can't be fresh enough either.
            kept.append(conn)
            break
        return await self._open_connection(address)

    def release(
        self, address: str, conn: server_connection.ServerConnection
    ) -> None:
        """Keep a connection after a complete answer, or close it."""
        if not conn.reusable or conn.idle_timeout_s <= 0:
            conn.close()
            return
        conn.leased = False
        conn.idle_since_s = time.monotonic()
        self._idle.setdefault(address, []).append(conn)

    def close_idle(self, address: str) -> None:
        """Close the idle connections to a server."""
        for conn in self._idle.pop(address, []):
            conn.close()

    def close_expired(self) -> None:
        """Close connections that have been idle for too long."""
        now_s = time.monotonic()
        for kept in self._idle.values():
            expired = [
                conn
                for conn in kept
                if now_s - conn.idle_since_s > conn.idle_timeout_s
            ]
            for conn in expired:
                kept.remove(conn)
                conn.close()

    async def _open_connection(
        self, address: str
    ) -> server_connection.ServerConnection:
        host, port = address.rsplit(":", 1)
        loop = asyncio.get_running_loop()
        self.connections_opened += 1
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, conn = await loop.create_connection(
                    lambda: server_connection.ServerConnection(
                        self._remove_connection
                    ),
                    host,
                    int(port),
                )
        except (OSError, TimeoutError) as exc:
            raise _errors.ServerUnreachableError(
                f"server {address}: {exc or 'no answer to the handshake'}"
            ) from exc
        return conn

    def _remove_connection(
        self, conn: server_connection.ServerConnection
    ) -> None:
        for kept in self._idle.values():
            if conn in kept:
                kept.remove(conn)
