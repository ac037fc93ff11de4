"""Thrift server for messages from other routers."""

from __future__ import annotations

import contextlib
import socket
import threading
from typing import TYPE_CHECKING

from thrift import Thrift
from thrift.protocol import TBinaryProtocol
from thrift.transport import TSocket
from thrift.transport import TTransport

from jasminetally._wire import peer_connection_pool
from jasminetally._wire.gen.peer import Peer

if TYPE_CHECKING:
    from collections.abc import Iterator

# Peers keep connections open between probes. A connection without data for
# longer than this belongs to a peer that has exited or probes other routers.
IDLE_TIMEOUT_S = 30.0


class PeerServer:
    """Thrift server with one thread for each connection.

    It replaces the servers of the thrift package, which can't be stopped while
    they serve; the embedded deployment and the tests stop servers.

    Attributes:
        address: ``host:port`` that the server is bound to.
    """

    def __init__(self, handler: Peer.Iface, *, host: str, port: int) -> None:
        """Bind the address and listen; ``start`` accepts connections.

        Args:
            handler: Answers the messages, on the threads of the connections.
            host: Host name or IP address to bind.
            port: Port to bind; 0 lets the operating system choose one.

        Raises:
            OSError: The address can't be bound.
        """
        self._processor = Peer.Processor(handler)
        self._lock = threading.Lock()
        self._open_connections: set[TSocket.TSocket] = set()
        self._stopped = False
        self._listener = socket.create_server((host, port), backlog=128)
        self.address = "{}:{}".format(*self._listener.getsockname()[:2])
        self._thread = threading.Thread(
            target=self._accept_connections, name="peer-accept", daemon=True
        )

    def start(self) -> None:
        """Accept connections and serve them in background threads."""
        self._thread.start()

    def stop(self) -> None:
        """Stop accepting and close all connections."""
        self._stopped = True
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        with self._lock:
            conns = list(self._open_connections)
        for conn in conns:
            _shut_down_socket(conn)

    def _accept_connections(self) -> None:
        for sock in self._accepted_sockets():
            conn = TSocket.TSocket()
            conn.setHandle(sock)
            conn.setTimeout(IDLE_TIMEOUT_S * 1000)
            with self._lock:
                self._open_connections.add(conn)
            threading.Thread(
                target=self._serve_connection,
                args=(conn,),
                name="peer",
                daemon=True,
            ).start()

    def _accepted_sockets(self) -> Iterator[socket.socket]:
        while not self._stopped:
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            yield sock

    def _serve_connection(self, conn: TSocket.TSocket) -> None:
        transport = TTransport.TBufferedTransport(conn)
        protocol = TBinaryProtocol.TBinaryProtocolAccelerated(
            transport,
            string_length_limit=peer_connection_pool.MAX_FIELD_LENGTH,
            container_length_limit=peer_connection_pool.MAX_FIELD_LENGTH,
        )
        try:
            while not self._stopped:
                self._processor.process(protocol, protocol)
        except (Thrift.TException, OSError, EOFError, ValueError):
            # The peer closed the connection, sent nothing for IDLE_TIMEOUT_S
            # or sent bytes that are not a valid message, after which the start
            # of the next message can't be found.
            pass
        finally:
            with self._lock:
                self._open_connections.discard(conn)
            conn.close()


def _shut_down_socket(conn: TSocket.TSocket) -> None:
    handle = conn.handle
    if handle is None:
        return
    with contextlib.suppress(OSError):
        handle.shutdown(socket.SHUT_RDWR)
