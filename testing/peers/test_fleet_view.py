"""Tests of the known routers and which of them are alive."""

from __future__ import annotations

import pytest

from jasminetally._peers import fleet_view
from jasminetally._peers import node_identity
from jasminetally._peers import peer_messages


def make_identity(node: str, run: int = 1, capacity: float = 1.0):
    return node_identity.NodeIdentity(
        node,
        f"{node}#{run:03d}",
        f"{node}:80",
        f"{node}:7000",
        "hall",
        capacity,
    )


def make_status(node: str, *, run=1, ready=True, leaving=False, capacity=1.0):
    return peer_messages.Status(
        make_identity(node, run, capacity),
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
    return fleet_view.FleetView(make_identity("own"))


def test_callers_are_sent_only_to_ready_routers_that_are_alive(view):
    """Guards against callers sent to a dead or stopping router."""
    view.on_status(make_status("a"), 10.0)
    view.on_status(make_status("b", ready=False), 10.0)
    view.on_status(make_status("c", leaving=True), 10.0)
    view.on_status(make_status("d"), 5.0)
    view.on_listed([make_identity("e")], 10.0)
    assert view.caller_addresses(10.5, own_ready=True) == ["a:80", "own:80"]
    assert view.caller_addresses(10.5, own_ready=False) == ["a:80"]


def test_router_that_may_be_cut_off_still_counts_as_sending(view):
    """Guards against shares of a limit that grow while the fleet is parted."""
    view.on_status(make_status("a"), 10.0)
    assert view.alive_members(20.0) == []
    assert len(view.sending_nodes(20.0)) == 2
    after_s = 10.0 + fleet_view.CUT_OFF_ROUTER_TTL_S
    assert len(view.sending_nodes(after_s)) == 1


def test_routers_that_start_while_parted_divide_limits_by_all():
    """Guards against routers that each take a whole budget before they meet."""
    nodes = ["a", "b", "c", "d", "e", "f"]
    views = [fleet_view.FleetView(make_identity(node)) for node in nodes]
    for view in views:
        view.on_listed([make_identity(node) for node in nodes], 10.0)
    shares = [1 / len(view.sending_nodes(11.0)) for view in views]
    assert sum(shares) <= 1.0


def test_instance_that_only_the_list_knows_ends_to_count(view):
    """Guards against shares that stay small for instances long gone."""
    view.on_listed([make_identity("gone")], 10.0)
    view.on_listed([make_identity("gone")], 60.0)
    after_s = 10.0 + fleet_view.CUT_OFF_ROUTER_TTL_S
    assert len(view.sending_nodes(after_s)) == 1


def test_router_that_refuses_a_connection_is_dead_at_once(view):
    """Guards against waiting for a timeout when the process has ended."""
    view.on_status(make_status("a"), 10.0)
    view.on_connection_refused("a")
    assert view.alive_members(10.1) == []
    view.on_status(make_status("a", run=2), 10.2)
    alive = [member.identity.incarnation for member in view.alive_members(10.3)]
    assert alive == ["a#002"]


def test_list_does_not_restore_an_earlier_incarnation(view):
    """Guards against a stale list that names an ended incarnation."""
    view.on_status(make_status("a", run=2), 10.0)
    view.on_listed([make_identity("a", run=1)], 10.0)
    assert view.get("a").identity.incarnation == "a#002"


def test_leaving_router_is_ranked_only_without_others(view):
    """Guards against work assigned to a router that is shutting down."""
    view.on_status(make_status("a"), 10.0)
    view.leaving = True
    assert [router.node for router in view.ranked_routers("key", 10.1)] == ["a"]
    assert [router.node for router in view.ranked_routers("key", 99.0)] == [
        "own"
    ]


def test_order_for_a_key_is_the_same_on_all_routers():
    """Guards against two routers that both try to own a shard."""
    views = [fleet_view.FleetView(make_identity(node)) for node in "abc"]
    for view in views:
        for node in "abc":
            view.on_status(make_status(node), 10.0)
    for key in ("shard 0", "shard 1", "shard 2"):
        orders = {
            tuple(router.node for router in view.ranked_routers(key, 10.1))
            for view in views
        }
        assert len(orders) == 1


def test_new_router_contacts_no_router_again_that_it_has_heard(view):
    """Guards against a start whose messages grow with each read of the list.

    In the sweep with 300 routers, each contacted all others twice (issue 22).
    Only large routers are named to callers, so whether they are ready matters.
    """
    view.on_listed([make_identity(f"small-{n}") for n in range(20)], 10.0)
    view.on_listed([make_identity(f"large-{n}") for n in range(4)], 10.0)
    assert len(view.members_to_contact(10.0)) == 24
    for n in range(19):
        view.on_status(make_status(f"small-{n}", ready=False), 10.1)
    for n in range(4):
        view.on_status(
            make_status(f"large-{n}", ready=n != 2, capacity=4.0), 10.1
        )
    assert [
        member.identity.node for member in view.members_to_contact(10.2)
    ] == ["small-19", "large-2"]
