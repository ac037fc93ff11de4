"""Pool of Thrift connections to other routers."""

from __future__ import annotations

import collections
import logging
import threading
from typing import TYPE_CHECKING
from typing import Any

from thrift import Thrift
from thrift.protocol import TBinaryProtocol
from thrift.transport import TSocket
from thrift.transport import TTransport

from jasminetally import _errors
from jasminetally._wire.gen.peer import Peer

if TYPE_CHECKING:
    from collections.abc import Callable

# Idle connections kept open for each peer. Connections that become idle beyond
# this number are closed; a call that finds no idle connection opens a new one.
MAX_IDLE_CONNECTIONS_PER_PEER = 2
# Limit of each string in a message (bytes) and of each container (elements).
# A message carries at most one object of the store (1 MB) and a few gossip
# items.
MAX_FIELD_LENGTH = 8_000_000

# Thrift logs every failed connection attempt as an error. Callers of the pool
# get a PeerUnreachableError in any case and decide whether to log it.
logging.getLogger("thrift.transport.TSocket").setLevel(logging.CRITICAL)


class PeerConnectionPool:
    """Pools Thrift connections to peers by address; thread-safe.

    A connection carries one call at a time. It is closed after any failure,
    because a late reply would be read as the reply to the next call.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._idle_clients: dict[str, collections.deque] = {}

    def call(
        self,
        address: str,
        send_message: Callable[[Peer.Client], Any],
        *,
        timeout_s: float,
    ) -> Any:
        """Send one message and return the reply.

        The peer may have closed an idle connection in the meantime. If such a
        connection fails with a transport error other than a read timeout, the
        message is sent once more over a new connection. This is safe because
        peer messages are idempotent.

        Args:
            address: ``host:port`` of the peer.
            send_message: Calls one method of the client it is given and
                returns the reply.
            timeout_s: Time limit in seconds for connecting and for each read
                and write on the connection, not for the call as a whole.

        Returns:
            The reply, as returned by ``send_message``.

        Raises:
            PeerUnreachableError: The peer could not be reached, did not reply
                in time or replied with an error.
        """
        idle_client = self._take_idle_client(address)
        if idle_client is not None:
            try:
                return self._call_client(
                    address, idle_client, send_message, timeout_s
                )
            except TTransport.TTransportException as exc:
                if exc.type == TTransport.TTransportException.TIMED_OUT:
                    raise _unreachable_error(address, exc) from exc
            except (Thrift.TException, OSError) as exc:
                raise _unreachable_error(address, exc) from exc
        try:
            new_client = _open_client(address, timeout_s)
            return self._call_client(
                address, new_client, send_message, timeout_s
            )
        except (Thrift.TException, OSError, EOFError) as exc:
            raise _unreachable_error(address, exc) from exc

    def close(self) -> None:
        """Close all idle connections."""
        with self._lock:
            idle_clients, self._idle_clients = self._idle_clients, {}
        for clients in idle_clients.values():
            for client in clients:
                client.transport.close()

    def _take_idle_client(self, address: str) -> Peer.Client | None:
        with self._lock:
            clients = self._idle_clients.get(address)
            return clients.pop() if clients else None

    def _call_client(
        self,
        address: str,
        client: Peer.Client,
        send_message: Callable[[Peer.Client], Any],
        timeout_s: float,
    ) -> Any:
        client.socket.setTimeout(timeout_s * 1000)
        try:
            reply = send_message(client)
        except BaseException:
            client.transport.close()
            raise
        with self._lock:
            clients = self._idle_clients.setdefault(
                address, collections.deque()
            )
            if len(clients) < MAX_IDLE_CONNECTIONS_PER_PEER:
                clients.append(client)
                return reply
        client.transport.close()
        return reply


def _open_client(address: str, timeout_s: float) -> Peer.Client:
    host, _, port = address.rpartition(":")
    sock = TSocket.TSocket(host, int(port))
    sock.setTimeout(timeout_s * 1000)
    transport = TTransport.TBufferedTransport(sock)
    protocol = TBinaryProtocol.TBinaryProtocolAccelerated(
        transport,
        string_length_limit=MAX_FIELD_LENGTH,
        container_length_limit=MAX_FIELD_LENGTH,
    )
    client = Peer.Client(protocol)
    client.socket = sock
    client.transport = transport
    transport.open()
    return client


def _unreachable_error(
    address: str, exc: BaseException
) -> _errors.PeerUnreachableError:
    return _errors.PeerUnreachableError(
        f"call to the router at {address} failed: {exc or type(exc).__name__}"
    )
