"""Tests of who exchanges statuses with whom."""

from __future__ import annotations

import pytest

from jasminetally._peers import fleet_view
from jasminetally._peers import peer_selector
from testing.peers import test_fleet_view

TURN_S = 0.25


def make_view(count: int, large: int) -> fleet_view.FleetView:
    """Return the view of a router in a fleet of large and small ones."""
    view = fleet_view.FleetView(test_fleet_view.identity("n000"))
    for number in range(1, count):
        capacity = 2.0 if number <= large else 0.5
        view.on_status(
            test_fleet_view.status(f"n{number:03d}", capacity=capacity), 0.0
        )
    return view


def test_small_fleet_contacts_everyone_each_turn():
    """Guards against a dead router that is noticed late."""
    view = make_view(9, 8)
    plan = peer_selector.PeerSelector(view, turn_s=TURN_S)
    assert len(plan.turn(serving=True, now_s=0.1)) == 8
    assert all(
        member.liveness_timeout_s == 4 * TURN_S for member in view.members()
    )


@pytest.mark.parametrize("count", [85, 370])
def test_cost_of_a_router_does_not_grow_with_the_fleet(count):
    """Guards against messages that grow with the square of the fleet."""
    plan = peer_selector.PeerSelector(make_view(count, 8), turn_s=TURN_S)
    serving = [len(plan.turn(serving=True, now_s=0.1)) for _ in range(40)]
    assert max(serving) <= 8 + peer_selector.ROTATED
    idle = [len(plan.turn(serving=False, now_s=0.1)) for _ in range(40)]
    assert sum(idle) / len(idle) <= 8 / peer_selector.IDLE_TURNS + 1.5


def test_every_router_is_contacted_before_it_counts_as_gone():
    """Guards against live routers that are taken as dead."""
    view = make_view(85, 8)
    plan = peer_selector.PeerSelector(view, turn_s=TURN_S)
    last = {member.identity.node: 0 for member in view.members()}
    for turn in range(1, 200):
        for member in plan.turn(serving=True, now_s=0.1):
            last[member.identity.node] = turn
        for member in view.members():
            silent_s = (turn - last[member.identity.node]) * TURN_S
            assert silent_s < member.liveness_timeout_s / 2


def test_callers_are_sent_to_large_routers_while_enough_are_left():
    """Guards against a load that is spread over too many routers to place.

    Plays a fleet of eight large and many small routers that loses large ones.
    """
    view = make_view(40, 8)
    assert len(view.caller_addresses(0.1, own_ready=True)) == 8
    for number in range(1, 5):
        view.on_connection_refused(f"n{number:03d}")
    assert len(view.caller_addresses(0.1, own_ready=True)) == 4
    view.on_connection_refused("n005")
    assert len(view.caller_addresses(0.1, own_ready=True)) == 35
