"""Tests of the admission to servers that fall over under rejections."""

from __future__ import annotations

import pytest

from jasminetally._placing import limit_divider
from jasminetally._placing import rejection_guard


@pytest.fixture
def guard() -> rejection_guard.RejectionGuard:
    result = rejection_guard.RejectionGuard()
    result.on_response(6.0, sent_s=0.0, now_s=0.0)
    result.share.own_slots = 2
    result.share.holders = 3
    return result


def test_server_that_is_not_brittle_takes_any_number():
    """Guards against requests refused that a sturdy server could queue."""
    guard = rejection_guard.RejectionGuard()
    guard.on_rejected(10.0)
    assert guard.wait_s(10.1, 100) == 0


def test_router_fills_its_own_slots_and_no_others(guard):
    """Guards against routers that together send more than there is room."""
    assert guard.wait_s(10.0, 1) == 0
    assert guard.wait_s(10.0, 2) > 0
    assert guard.wait_s(10.0, 3) > 0


def test_lent_slot_is_not_used_until_it_is_back(guard):
    """Guards against a slot that lender and borrower both fill."""
    guard.share.lend("loan", 20.0)
    assert guard.spare_slots(10.0, 0) == 1
    assert guard.wait_s(10.0, 1) > 0
    guard.share.take_back("loan")
    guard.share.take_back("loan")
    assert guard.wait_s(10.0, 1) == 0
    guard.share.lend("lost", 20.0)
    assert guard.wait_s(19.9, 1) > 0
    assert guard.wait_s(20.0, 1) == 0


def test_rejection_keeps_the_router_away_and_lowers_its_part(guard):
    """Guards against routers that try a full server again and again."""
    guard.on_rejected(10.0)
    assert guard.wait_s(10.1, 0) == pytest.approx(0.9)
    assert guard.spare_slots(10.1, 0) == 0
    later_s = 10.0 + rejection_guard.MIN_BACKOFF_S
    assert guard.wait_s(later_s, 0) == 0
    assert guard.wait_s(later_s, 1) > 0
    assert guard.wait_s(later_s + 60, 1) == 0


@pytest.mark.parametrize("borne_per_s", [0.0, 1.0, 6.0, 40.0])
@pytest.mark.parametrize("holders", [1, 3, 16, 128])
def test_all_holders_cause_half_of_the_rejections_that_a_server_bears(
    guard, borne_per_s, holders
):
    """Guards against many routers that each try a full server once a second."""
    guard.on_response(borne_per_s, sent_s=1.0, now_s=1.0)
    guard.share.holders = holders
    guard.on_rejected(10.0)
    tolerated_per_s = max(borne_per_s, 1.0) / 2
    assert guard.wait_s(10.0, 0) == pytest.approx(
        max(1.0, holders / tolerated_per_s)
    )


def test_router_without_slots_sends_nothing(guard):
    """Guards against hundreds of routers that each send one request."""
    guard.share.own_slots = 0
    assert guard.wait_s(10.0, 0) > 0


def test_word_ends_with_a_response_that_was_asked_for_later(guard):
    """Guards against late responses that end the protection too early."""
    assert not guard.on_response(None, sent_s=-1.0, now_s=1.0)
    assert guard.max_rejections_per_s == 6.0
    assert guard.on_response(None, sent_s=0.5, now_s=1.0)
    assert guard.wait_s(2.0, 100) == 0


@pytest.mark.parametrize(
    ("routers", "slots"),
    [(1, 8), (3, 4), (6, 48), (60, 16), (300, 12), (300, 128)],
)
def test_parts_of_all_routers_add_up_to_the_slots(routers, slots):
    """Guards against routers that together send more than there is room."""
    nodes = [f"node-{number}" for number in range(routers)]
    parts = [
        limit_divider.LimitDivider(node, lambda: nodes).own_slots("s", slots)
        for node in nodes
    ]
    holders = limit_divider.LimitDivider(nodes[0], lambda: nodes).slot_holders(
        slots
    )
    assert sum(parts) == slots
    assert sum(part > 0 for part in parts) == holders
    assert max(parts) - min(parts) <= 1


def test_only_routers_of_large_capacity_have_slots():
    """Guards against slots of routers that get no callers."""
    nodes = [f"node-{number}" for number in range(10)]
    parts = [
        limit_divider.LimitDivider(
            node, lambda: nodes, lambda: nodes[:4]
        ).own_slots("s", 8)
        for node in nodes
    ]
    assert parts == [2, 2, 2, 2, 0, 0, 0, 0, 0, 0]
