"""Tests of the peer transport over loopback."""

from __future__ import annotations

import socket

import pytest

from jasminetally import _errors
from jasminetally._wire import peer_pool
from jasminetally._wire import peer_server
from jasminetally._wire.gen.peer import Peer
from jasminetally._wire.gen.peer import ttypes

SENDER = ttypes.Sender(incarnation="a#1", address="127.0.0.1:1", revision=7)


class Handler(Peer.Iface):
    """Answers configuration fetches and fails on probes."""

    def fetch_config(self, sender, minimum_revision):
        """Answer with the sender's revision."""
        return ttypes.Config(revision=sender.revision, value=b"v")

    def probe(self, sender, news):
        """Fail, as a handler with a fault does."""
        raise RuntimeError("handler failed")


@pytest.fixture
def server():
    started = peer_server.PeerServer(Handler(), host="127.0.0.1", port=0)
    started.start()
    yield started
    started.stop()


@pytest.fixture
def pool():
    created = peer_pool.PeerPool()
    yield created
    created.close()


def fetch(pool, address, timeout_s=5.0):
    return pool.call(
        address, lambda peer: peer.fetch_config(SENDER, 1), timeout_s=timeout_s
    )


def test_reply_carries_binary_value_and_revision(server, pool):
    """Guards against a codec mismatch between client and server."""
    assert fetch(pool, server.address) == ttypes.Config(revision=7, value=b"v")


def test_connection_closed_while_idle_is_replaced(server, pool):
    """Guards against reporting a restarted peer as unreachable."""
    fetch(pool, server.address)
    server.stop()
    port = int(server.address.rpartition(":")[2])
    again = peer_server.PeerServer(Handler(), host="127.0.0.1", port=port)
    again.start()
    try:
        assert fetch(pool, again.address).value == b"v"
    finally:
        again.stop()


def test_failed_handler_leaves_later_calls_working(server, pool):
    """Guards against reading a stale reply after a handler error."""
    with pytest.raises(_errors.PeerUnreachableError):
        pool.call(
            server.address, lambda peer: peer.probe(SENDER, []), timeout_s=5.0
        )
    assert fetch(pool, server.address).value == b"v"


def test_silent_peer_is_unreachable_and_not_reused(pool):
    """Guards against a call that waits forever on a silent connection."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        address = f"127.0.0.1:{listener.getsockname()[1]}"
        with pytest.raises(_errors.PeerUnreachableError, match=address):
            fetch(pool, address, timeout_s=0.05)
        assert not pool._idle.get(address)


def test_bytes_that_are_no_message_leave_the_server_serving(server, pool):
    """Guards against a stray connection that stops the peer server."""
    host, _, port = server.address.rpartition(":")
    with socket.create_connection((host, int(port)), timeout=5.0) as conn:
        conn.sendall(b"GET / HTTP/1.1\r\n\r\n" + b"\xff" * 64)
        conn.shutdown(socket.SHUT_WR)
        conn.recv(64)
    assert fetch(pool, server.address).value == b"v"
