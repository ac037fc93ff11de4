"""Listener that accepts no more connections than it may hold."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import socket

from jasminetally._overload import listener_guard

# Number of connections that may wait to be accepted.
LISTEN_BACKLOG = 512
# Number of connections that are accepted before other work gets its turn. The
# server of asyncio accepts as many as may wait, and all have a descriptor.
ACCEPT_BATCH = 16
# Pause after the operating system had no descriptor or memory left.
ACCEPT_PAUSE_S = 0.1


class LimitedListener:
    """Accepts connections on an address within the limits of its guard.

    Use ``start`` to make one.

    Args:
        sock: Listening socket.
        factory: Makes the protocol of a connection, which tells the guard when
            it is set up and closed.
        guard: Limits the connections.
    """

    def __init__(
        self,
        sock: socket.socket,
        factory: Callable[[], asyncio.Protocol],
        guard: listener_guard.ListenerGuard,
    ) -> None:
        self._sock = sock
        self._factory = factory
        self._guard = guard
        self._loop = asyncio.get_running_loop()
        self._set_ups: set[asyncio.Task] = set()
        self._pause: asyncio.TimerHandle | None = None
        self._closed = False

    @classmethod
    def start(
        cls,
        address: str,
        factory: Callable[[], asyncio.Protocol],
        guard: listener_guard.ListenerGuard,
    ) -> LimitedListener:
        """Listen on an address; call it from the event loop.

        Args:
            address: ``ip:port`` to bind.
            factory: Makes the protocol of a connection.
            guard: Limits the connections.

        Raises:
            OSError: The address can't be bound.
        """
        host, port = address.rsplit(":", 1)
        sock = socket.create_server(
            (host.strip("[]"), int(port)),
            family=socket.AF_INET6 if ":" in host else socket.AF_INET,
            backlog=LISTEN_BACKLOG,
        )
        sock.setblocking(False)
        listener = cls(sock, factory, guard)
        listener._resume()
        return listener

    def close(self) -> None:
        """Stop listening; open connections are kept."""
        if self._closed:
            return
        self._closed = True
        if self._pause is not None:
            self._pause.cancel()
        self._loop.remove_reader(self._sock)
        self._sock.close()

    def _resume(self) -> None:
        self._pause = None
        self._loop.add_reader(self._sock, self._accept_waiting)

    def _accept_waiting(self) -> None:
        """Accept connections that wait; called while there are any."""
        connections = self._guard.connections
        if connections.full and connections.make_room():
            # Their descriptors are free in the next turn of the loop.
            return
        refusing = connections.full
        for _ in range(ACCEPT_BATCH):
            if connections.full and not refusing:
                return
            try:
                sock, client = self._sock.accept()
            except (BlockingIOError, InterruptedError, ConnectionError):
                return
            except OSError:
                connections.make_room()
                self._loop.remove_reader(self._sock)
                self._pause = self._loop.call_later(
                    ACCEPT_PAUSE_S, self._resume
                )
                return
            if refusing:
                sock.close()
                self._guard.count_refusal("connections_full", client[0])
                continue
            sock.setblocking(False)
            connections.on_accepted()
            task = self._loop.create_task(self._set_up(sock))
            self._set_ups.add(task)
            task.add_done_callback(self._set_ups.discard)

    async def _set_up(self, sock: socket.socket) -> None:
        """Connect an accepted socket to its protocol."""
        try:
            await self._loop.connect_accepted_socket(self._factory, sock)
        except (OSError, RuntimeError):
            sock.close()
            self._guard.connections.on_closed(None)
