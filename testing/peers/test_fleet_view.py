"""Tests of the view of the other routers."""

from __future__ import annotations

import pytest

from jasminetally._peers import fleet_view
from jasminetally._peers import node_identity
from jasminetally._peers import peer_messages


def identity(node: str, run: int = 1, capacity: float = 1.0):
    return node_identity.NodeIdentity(
        node,
        f"{node}#{run:03d}",
        f"{node}:80",
        f"{node}:7000",
        "hall",
        capacity,
    )


def status(node: str, *, run=1, ready=True, leaving=False, capacity=1.0):
    return peer_messages.Status(
        identity(node, run, capacity),
        1,
        ready,
        leaving,
        True,
        {},
        {},
        [],
        0.0,
        None,
    )


@pytest.fixture
def view() -> fleet_view.FleetView:
    return fleet_view.FleetView(identity("own"))


def test_callers_get_only_ready_routers_that_are_alive(view):
    """Guards against callers that are sent to a dead or leaving router."""
    view.on_status(status("a"), 10.0)
    view.on_status(status("b", ready=False), 10.0)
    view.on_status(status("c", leaving=True), 10.0)
    view.on_status(status("d"), 5.0)
    view.on_listed([identity("e")])
    assert view.caller_addresses(10.5, own_ready=True) == ["a:80", "own:80"]
    assert view.caller_addresses(10.5, own_ready=False) == ["a:80"]


def test_refused_connection_ends_a_router_at_once(view):
    """Guards against waiting for silence when the process is known dead."""
    view.on_status(status("a"), 10.0)
    view.on_connection_refused("a")
    assert view.alive_members(10.1) == []
    view.on_status(status("a", run=2), 10.2)
    alive_members = [
        member.identity.incarnation for member in view.alive_members(10.3)
    ]
    assert alive_members == ["a#002"]


def test_list_does_not_bring_back_an_earlier_run(view):
    """Guards against a stale list that names a dead incarnation."""
    view.on_status(status("a", run=2), 10.0)
    view.on_listed([identity("a", run=1)])
    assert view.get("a").identity.incarnation == "a#002"


def test_leaving_router_ranks_nowhere(view):
    """Guards against work handed to a router that shuts down."""
    view.on_status(status("a"), 10.0)
    view.leaving = True
    assert [found.node for found in view.ranked_routers("key", 10.1)] == ["a"]
    assert [found.node for found in view.ranked_routers("key", 99.0)] == ["own"]


def test_rank_of_a_key_is_the_same_at_all_routers():
    """Guards against two routers that both become the home of a shard."""
    views = [fleet_view.FleetView(identity(node)) for node in "abc"]
    for view in views:
        for node in "abc":
            view.on_status(status(node), 10.0)
    for key in ("shard 0", "shard 1", "shard 2"):
        ranked_routers = {
            tuple(found.node for found in view.ranked_routers(key, 10.1))
            for view in views
        }
        assert len(ranked_routers) == 1
