"""TCP options by which the operating system detects dead connections."""

from __future__ import annotations

import asyncio
import socket
import struct

# The network may drop a connection without a reset. The operating system closes
# it when sent data or keepalive probes remain unacknowledged for this time.
USER_TIMEOUT_MS = 2_500
# The same for connections to backend servers, which the router itself resets
# before, see ``silent_server_monitor``.
SERVER_USER_TIMEOUT_MS = 4_000
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2


def enable_keepalive(
    transport: asyncio.BaseTransport, user_timeout_ms: int = USER_TIMEOUT_MS
) -> None:
    """Enable TCP keepalive and the user timeout, and disable Nagle's algorithm.

    Args:
        transport: Transport of the connection; without a socket, nothing is
            changed.
        user_timeout_ms: Milliseconds without an acknowledgement after which
            the connection is given up, whatever the number of probes.
    """
    sock = transport.get_extra_info("socket")
    if sock is None:
        return
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(
        socket.IPPROTO_TCP,
        socket.TCP_USER_TIMEOUT,
        user_timeout_ms,
    )
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S
    )
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)


def reset_on_close(transport: asyncio.BaseTransport) -> None:
    """Make the end of a connection drop all data that were not delivered.

    Otherwise the operating system goes on trying to deliver them.

    Args:
        transport: Transport of the connection; without a socket, nothing is
            changed.
    """
    _set_linger(transport, enabled=True)


def end_on_close(transport: asyncio.BaseTransport) -> None:
    """Make the end of a connection deliver all data; undo ``reset_on_close``.

    Args:
        transport: Transport of the connection; without a socket, nothing is
            changed.
    """
    _set_linger(transport, enabled=False)


def _set_linger(transport: asyncio.BaseTransport, *, enabled: bool) -> None:
    sock = transport.get_extra_info("socket")
    if sock is not None:
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", enabled, 0)
        )
