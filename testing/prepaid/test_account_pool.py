"""Tests of the plan for one account's prepaid tokens."""

from __future__ import annotations

from jasminetally._prepaid import account_pool

PREPAID = 1_000_000


def test_wish_of_a_router_is_not_taken_for_a_large_request():
    """Guards against usable tokens that are lost when all routers die.

    Plays 2 s of small requests at 10,000 tokens/s with one top-up of half a
    second's demand for each of nine routers.
    """
    pool = account_pool.AccountPool(granted=0, prepaid=PREPAID)
    for tick in range(20):
        pool.grant(1_000, 1_000, tick / 10)
    for _ in range(9):
        pool.grant(50_000, 0, 2.0)
    for _ in range(9):
        pool.return_tokens(50_000, 2.0)
    planned = pool.plan_bound(2.0)
    usable_s = (planned.usable - pool.granted) / 10_000
    assert usable_s <= account_pool.FIRST_USABLE_S + 0.1


def test_large_request_fits_into_what_is_usable_at_once():
    """Guards against large requests refused in every outage of the store."""
    pool = account_pool.AccountPool(granted=0, prepaid=PREPAID)
    pool.grant(60_000, 60_000, 0.0)
    for tick in range(100):
        pool.grant(100, 100, tick / 10)
    assert pool.plan_bound(10.0).usable - pool.granted >= 50_000


def test_new_home_plans_for_the_demand_that_the_one_before_saw():
    """Guards against refusals in an outage that begins after a handover.

    Plays 20,000 tokens/s, a handover, and an outage of the store in which the
    new home has only its first record.
    """
    before = account_pool.AccountPool(granted=0, prepaid=PREPAID)
    for tick in range(100):
        before.grant(2_000, 2_000, tick / 10)
    demand = before.plan_bound(10.0).demand
    after = account_pool.AccountPool(
        granted=before.granted, prepaid=PREPAID, demand=demand, now_s=10.0
    )
    planned = after.plan_bound(10.1)
    assert planned.limit - after.granted >= 20_000 * 10


def test_idle_account_tells_no_demand():
    """Guards against a home that plans for the pause before an event."""
    pool = account_pool.AccountPool(granted=0, prepaid=PREPAID)
    assert pool.plan_bound(0.0).demand == 0
