"""TCP options by which the operating system detects dead connections."""

from __future__ import annotations

import asyncio
import socket

# The network may drop a connection without a reset. The operating system closes
# it when sent data or keepalive probes remain unacknowledged for this time.
USER_TIMEOUT_MS = 2_500
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2


def enable_keepalive(transport: asyncio.BaseTransport) -> None:
    """Enable TCP keepalive and the user timeout, and disable Nagle's algorithm.

    Args:
        transport: Transport of the connection; without a socket, nothing is
            changed.
    """
    sock = transport.get_extra_info("socket")
    if sock is None:
        return
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(
        socket.IPPROTO_TCP,
        socket.TCP_USER_TIMEOUT,
        USER_TIMEOUT_MS,
    )
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S
    )
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
