"""Tests of the peer connection pool and server over loopback."""

from __future__ import annotations

import contextlib
import socket
import threading

import pytest

from jasminetally import _errors
from jasminetally._wire import peer_connection_pool
from jasminetally._wire import peer_server
from jasminetally._wire.gen.peer import Peer
from jasminetally._wire.gen.peer import ttypes

# Length of the encoded reply of ``fetch_config``.
REPLY_BYTES = 48
SENDER = ttypes.Sender(incarnation="a#1", address="127.0.0.1:1", revision=7)


class FakePeerHandler(Peer.Iface):
    """Answers configuration fetches and raises an error on probes."""

    def fetch_config(self, sender, minimum_revision):
        """Return a configuration with the sender's revision."""
        return ttypes.Config(revision=sender.revision, value=b"v")

    def probe(self, sender, news):
        """Raise an exception that the Thrift interface doesn't declare."""
        raise RuntimeError("handler failed")


@pytest.fixture
def server():
    started = peer_server.PeerServer(
        FakePeerHandler(), host="127.0.0.1", port=0
    )
    started.start()
    yield started
    started.stop()


@pytest.fixture
def pool():
    created = peer_connection_pool.PeerConnectionPool()
    yield created
    created.close()


def fetch_config(pool, address, timeout_s=5.0):
    return pool.call(
        address, lambda peer: peer.fetch_config(SENDER, 1), timeout_s=timeout_s
    )


def test_reply_carries_binary_value_and_revision(server, pool):
    """Guards against an encoding mismatch between client and server."""
    assert fetch_config(pool, server.address) == ttypes.Config(
        revision=7, value=b"v"
    )


def test_connection_closed_while_idle_is_replaced(server, pool):
    """Guards against reporting a restarted peer as unreachable.

    The pool still holds the connection that the peer closed when it stopped.
    """
    fetch_config(pool, server.address)
    server.stop()
    port = int(server.address.rpartition(":")[2])
    restarted = peer_server.PeerServer(
        FakePeerHandler(), host="127.0.0.1", port=port
    )
    restarted.start()
    try:
        assert fetch_config(pool, restarted.address).value == b"v"
    finally:
        restarted.stop()


def test_handler_error_does_not_affect_next_call(server, pool):
    """Guards against reading a stale reply after a handler error.

    A connection that is reused after a failed call may still hold its reply.
    """
    with pytest.raises(_errors.PeerUnreachableError):
        pool.call(
            server.address, lambda peer: peer.probe(SENDER, []), timeout_s=5.0
        )
    assert fetch_config(pool, server.address).value == b"v"


def test_silent_peer_times_out_and_connection_is_not_reused(pool):
    """Guards against a call that waits forever on a silent connection.

    The peer's system accepts the connection, but nothing reads from it. After
    the timeout the connection must not go back to the pool, since a late
    reply would be read as the reply to the next call.
    """
    with socket.create_server(("127.0.0.1", 0)) as listener:
        address = f"127.0.0.1:{listener.getsockname()[1]}"
        with pytest.raises(_errors.PeerUnreachableError, match=address):
            fetch_config(pool, address, timeout_s=0.05)
        assert not pool._idle_clients.get(address)


def test_server_keeps_serving_after_invalid_bytes(server, pool):
    """Guards against invalid bytes that stop the peer server.

    An HTTP client or a port scanner may connect to the peer port.
    """
    host, _, port = server.address.rpartition(":")
    with socket.create_connection((host, int(port)), timeout=5.0) as conn:
        conn.sendall(b"GET / HTTP/1.1\r\n\r\n" + b"\xff" * 64)
        conn.shutdown(socket.SHUT_WR)
        conn.recv(64)
    assert fetch_config(pool, server.address).value == b"v"


class CuttingProxy:
    """Relays calls to a peer; cuts the last reply of each connection.

    Attributes:
        replies: Replies of a connection, the last of which is cut.
        reply_bytes: Bytes of the last reply that are passed on.
        address: ``ip:port``.
    """

    def __init__(self, target):
        self.replies = 1
        self.reply_bytes = 0
        self._target = target
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        threading.Thread(target=self._run, daemon=True).start()

    def close(self):
        """Stop listening."""
        self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()

    def _run(self):
        with contextlib.suppress(OSError):
            while True:
                conn, _ = self._listener.accept()
                with conn, socket.create_connection(self._target) as peer:
                    self._relay(conn, peer)

    def _relay(self, conn, peer):
        replies = self.replies
        for number in range(1, replies + 1):
            request = conn.recv(65_536)
            if not request:
                return
            peer.sendall(request)
            reply = peer.recv(65_536)
            if number == replies:
                reply = reply[: self.reply_bytes]
            conn.sendall(reply)


@pytest.mark.parametrize("kept", [False, True])
def test_cut_reply_is_a_failed_call(server, pool, kept):
    """Guards against a part of a reply that is taken for all of it."""
    host, port = server.address.split(":")
    proxy = CuttingProxy((host, int(port)))
    for offset in range(REPLY_BYTES):
        proxy.replies = 1 + kept
        proxy.reply_bytes = offset
        if kept:
            assert fetch_config(pool, proxy.address).revision == 7
            # The repetition on a new connection is cut, too.
            proxy.replies = 1
        with pytest.raises(_errors.PeerUnreachableError):
            fetch_config(pool, proxy.address)
    proxy.replies = 1
    proxy.reply_bytes = REPLY_BYTES
    assert fetch_config(pool, proxy.address).revision == 7
    proxy.close()
