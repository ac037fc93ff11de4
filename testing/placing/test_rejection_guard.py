"""Tests of the admission to servers that fall over under rejections."""

from __future__ import annotations

import pytest

from jasminetally._placing import limit_divider
from jasminetally._placing import rejection_guard

SLOTS = 8


@pytest.fixture
def guard() -> rejection_guard.RejectionGuard:
    result = rejection_guard.RejectionGuard()
    result.on_response(6.0, sent_s=0.0, now_s=0.0)
    result.set_slots(2, shares_spare_slots=True)
    return result


def wait_s(guard, now_s, own_requests, all_requests) -> float:
    return guard.wait_s(
        now_s, own_requests=own_requests, all_requests=all_requests, slots=SLOTS
    )


def test_server_that_is_not_brittle_takes_any_number():
    """Guards against requests refused that a sturdy server could queue."""
    guard = rejection_guard.RejectionGuard()
    guard.on_rejected(10.0)
    assert wait_s(guard, 10.1, 100, 500) == 0


def test_router_fills_its_own_slots_whatever_the_others_report(guard):
    """Guards against a router that is shut out by stale reports of load."""
    assert wait_s(guard, 10.0, 1, 50) == 0
    assert wait_s(guard, 10.0, 2, 50) > 0


def test_slots_that_others_leave_are_used_up_to_a_part(guard):
    """Guards against idle slots, and against all that go for the last one."""
    assert wait_s(guard, 10.0, 4, 5) == 0
    assert wait_s(guard, 10.0, 4, 6) > 0
    guard.set_slots(2, shares_spare_slots=False)
    assert wait_s(guard, 10.0, 4, 5) > 0


def test_rejection_keeps_the_router_away_and_lowers_its_part(guard):
    """Guards against routers that try a full server again and again."""
    guard.on_rejected(10.0)
    assert wait_s(guard, 10.1, 0, 0) == pytest.approx(0.9)
    later_s = 10.0 + rejection_guard.BACKOFF_S
    assert wait_s(guard, later_s, 0, 0) == 0
    assert wait_s(guard, later_s, 1, 5) > 0
    assert wait_s(guard, later_s + 60, 1, 5) == 0


def test_router_without_slots_sends_nothing(guard):
    """Guards against hundreds of routers that each send one request."""
    guard.set_slots(0, shares_spare_slots=False)
    assert wait_s(guard, 10.0, 0, 0) > 0


def test_word_ends_with_a_response_that_was_asked_for_later(guard):
    """Guards against late responses that end the protection too early."""
    assert not guard.on_response(None, sent_s=-1.0, now_s=1.0)
    assert guard.max_rejections_per_s == 6.0
    assert guard.on_response(None, sent_s=0.5, now_s=1.0)
    assert wait_s(guard, 2.0, 100, 100) == 0


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
    assert sum(parts) == slots
    assert max(parts) - min(parts) <= 1
