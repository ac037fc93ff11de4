"""Tests of the bounds that are planned for one account."""

from __future__ import annotations

from jasminetally._prepaid import account_pool

PREPAID_TOKENS = 1_000_000


def test_refill_of_a_router_does_not_count_as_a_large_request():
    """Guards against too many usable tokens, which a total failure loses.

    Simulates 2 s of small requests at 10,000 tokens/s, then one refill of 5 s
    of this demand by each of nine routers.
    """
    pool = account_pool.AccountPool(granted=0, prepaid=PREPAID_TOKENS)
    for tick in range(20):
        pool.grant(1_000, 1_000, tick / 10)
    for _ in range(9):
        pool.grant(50_000, 0, 2.0)
    for _ in range(9):
        pool.return_tokens(50_000, 2.0)
    planned = pool.plan_bound(2.0)
    usable_s = (planned.usable - pool.granted) / 10_000
    assert usable_s <= account_pool.IMMEDIATE_DEMAND_S + 0.1


def test_immediately_usable_tokens_cover_a_recent_large_request():
    """Guards against refusing large requests in every store outage."""
    pool = account_pool.AccountPool(granted=0, prepaid=PREPAID_TOKENS)
    pool.grant(60_000, 60_000, 0.0)
    for tick in range(100):
        pool.grant(100, 100, tick / 10)
    assert pool.plan_bound(10.0).usable - pool.granted >= 50_000


def test_new_owner_plans_for_the_demand_seen_by_the_previous_owner():
    """Guards against refusals in a store outage soon after a handover.

    Simulates 20,000 tokens/s, a handover, and an outage in which the new owner
    has only its first record.
    """
    previous = account_pool.AccountPool(granted=0, prepaid=PREPAID_TOKENS)
    for tick in range(100):
        previous.grant(2_000, 2_000, tick / 10)
    demand = previous.plan_bound(10.0).demand
    successor = account_pool.AccountPool(
        granted=previous.granted,
        prepaid=PREPAID_TOKENS,
        demand=demand,
        now_s=10.0,
    )
    planned = successor.plan_bound(10.1)
    assert planned.limit - successor.granted >= 20_000 * 10


def test_idle_account_reports_no_demand():
    """Guards against an owner that plans for the idle time before an event."""
    pool = account_pool.AccountPool(granted=0, prepaid=PREPAID_TOKENS)
    assert pool.plan_bound(0.0).demand == 0
