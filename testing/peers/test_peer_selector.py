"""Tests of the selection of routers to exchange statuses with."""

from __future__ import annotations

import pytest

from jasminetally._peers import fleet_view
from jasminetally._peers import peer_selector
from testing.peers import test_fleet_view

ROUND_INTERVAL_S = 0.25


def make_view(count: int, large: int) -> fleet_view.FleetView:
    """Return the view of one router of a fleet.

    Args:
        count: Number of routers, including the viewing one.
        large: Number of other routers with a large capacity.
    """
    view = fleet_view.FleetView(test_fleet_view.make_identity("n000"))
    for number in range(1, count):
        capacity = 2.0 if number <= large else 0.5
        view.on_status(
            test_fleet_view.make_status(f"n{number:03d}", capacity=capacity),
            0.0,
        )
    return view


def test_small_fleet_contacts_all_routers_in_each_round():
    """Guards against late detection of a dead router."""
    view = make_view(9, 8)
    selector = peer_selector.PeerSelector(
        view, round_interval_s=ROUND_INTERVAL_S
    )
    assert len(selector.select_peers(serving=True, now_s=0.1)) == 8
    assert all(
        member.liveness_timeout_s == 4 * ROUND_INTERVAL_S
        for member in view.members()
    )


@pytest.mark.parametrize("count", [85, 370])
def test_contacts_per_round_do_not_grow_with_the_fleet(count):
    """Guards against messages that grow with the square of the fleet."""
    selector = peer_selector.PeerSelector(
        make_view(count, 8), round_interval_s=ROUND_INTERVAL_S
    )
    serving = [
        len(selector.select_peers(serving=True, now_s=0.1)) for _ in range(40)
    ]
    assert max(serving) <= 8 + peer_selector.IDLE_PEERS_PER_ROUND
    idle = [
        len(selector.select_peers(serving=False, now_s=0.1)) for _ in range(40)
    ]
    assert (
        sum(idle) / len(idle)
        <= 8 / peer_selector.IDLE_ROUTER_INTERVAL_ROUNDS + 1.5
    )


def test_every_router_is_contacted_within_its_liveness_timeout():
    """Guards against live routers that are considered dead."""
    view = make_view(85, 8)
    selector = peer_selector.PeerSelector(
        view, round_interval_s=ROUND_INTERVAL_S
    )
    last_round = {member.identity.node: 0 for member in view.members()}
    for number in range(1, 200):
        for member in selector.select_peers(serving=True, now_s=0.1):
            last_round[member.identity.node] = number
        for member in view.members():
            silent_s = (
                number - last_round[member.identity.node]
            ) * ROUND_INTERVAL_S
            assert silent_s < member.liveness_timeout_s / 2


def test_callers_are_sent_to_large_routers_while_enough_are_alive():
    """Guards against load that is spread over too many routers.

    A fleet of eight large and many small routers loses large ones.
    """
    view = make_view(40, 8)
    assert len(view.caller_addresses(0.1, own_ready=True)) == 8
    for number in range(1, 5):
        view.on_connection_refused(f"n{number:03d}")
    assert len(view.caller_addresses(0.1, own_ready=True)) == 4
    view.on_connection_refused("n005")
    assert len(view.caller_addresses(0.1, own_ready=True)) == 35
