"""Tests of the number of connections of a listener."""

from __future__ import annotations

import pytest

from jasminetally._overload import connection_limiter

MAX_CONNECTIONS = 4


class Connection:
    """Connection in a given state."""

    def __init__(self, state):
        self.state = state
        self.closed = False

    def idle_state(self):
        """Return the given state."""
        return self.state

    def close_for_others(self):
        """Note that the connection was closed."""
        self.closed = True


@pytest.fixture(name="limiter")
def make_limiter():
    return connection_limiter.ConnectionLimiter(MAX_CONNECTIONS)


def add_connections(limiter, *states):
    """Add a connection for each idle state; None is one with a request."""
    conns = [Connection(state) for state in states]
    for conn in conns:
        limiter.on_accepted()
        limiter.on_made(conn)
    return conns


@pytest.mark.parametrize(
    ("states", "closed"),
    [
        ([(True, 1.0), (True, 2.0), (True, 3.0)], 0),
        ([(True, 1.0), (False, 9.0), (False, 8.0)], 2),
        ([None, (True, 5.0), None], 1),
    ],
    ids=["longest_idle", "never_used", "with_requests"],
)
def test_order_in_which_connections_give_way(limiter, states, closed):
    """Guards against callers cut off for clients that send nothing."""
    conns = add_connections(
        limiter,
        *(state and connection_limiter.IdleState(*state) for state in states),
    )
    assert limiter.make_room()
    assert [conn.closed for conn in conns] == [
        number == closed for number in range(len(conns))
    ]


def test_connections_with_requests_are_kept(limiter):
    """Guards against requests that are cut for new connections."""
    conns = add_connections(limiter, None, None)
    assert not limiter.make_room()
    assert not any(conn.closed for conn in conns)


def test_limit_counts_connections_until_they_are_closed(limiter):
    """Guards against more descriptors than allowed while some are closed."""
    conns = add_connections(limiter, *MAX_CONNECTIONS * [None])
    assert limiter.full
    limiter.on_closed(conns[0])
    assert not limiter.full
    limiter.on_accepted()
    assert limiter.full
    limiter.on_closed(None)
    assert not limiter.full
