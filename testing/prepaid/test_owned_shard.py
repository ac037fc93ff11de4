"""Tests of handing out prepaid tokens within stored bounds."""

from __future__ import annotations

import pytest

from jasminetally._prepaid import account_bound
from jasminetally._prepaid import account_pool
from jasminetally._prepaid import owned_shard
from jasminetally._prepaid import pool_record

PREPAID_TOKENS = 1_000_000


def make_owned_shard(
    bound: account_bound.AccountBound, *, delay_s: float = 2.0
) -> owned_shard.OwnedShard:
    record = pool_record.PoolRecord(1, "a#1", delay_s, 100.0, {"acme": bound})
    owned = owned_shard.OwnedShard(0, record, version=7, written_s=0.0)
    owned.update_prepaid({"acme": PREPAID_TOKENS})
    return owned


def test_owner_hands_out_only_what_its_record_allows():
    """Guards against spent tokens that a successor does not count."""
    owned = make_owned_shard(account_bound.AccountBound(0, 50_000, 10_000, 0))
    first = owned.take_tokens("acme", 8_000, 8_000, routers=1, now_s=0.1)
    second = owned.take_tokens("acme", 8_000, 8_000, routers=1, now_s=0.2)
    assert (first.tokens, second.tokens) == (8_000, 0)
    assert not second.exhausted


def test_usable_tokens_grow_only_after_the_delay():
    """Guards against growth that a killed owner's successor can't bound."""
    owned = make_owned_shard(
        account_bound.AccountBound(0, 50_000, 10_000, 1_000)
    )
    assert owned.usable("acme", 1.9) == 10_000
    assert owned.usable("acme", 5.0) == 13_000
    assert owned.usable("acme", 500.0) == 50_000


def test_successor_bounds_the_spent_tokens_by_the_end_of_the_owner():
    """Guards against a bound below what the ended owner handed out."""
    bound = account_bound.AccountBound(0, 50_000, 10_000, 1_000)
    owned = make_owned_shard(bound)
    for now_s in (0.5, 1.0, 2.5, 3.0, 4.0, 6.0):
        spent = owned.usable("acme", now_s)
        assert owned.record.max_granted_by("acme", 100.0 + now_s) >= spent
    assert owned.record.max_granted_by("acme", 1e9) == 50_000


def test_record_without_a_write_time_counts_its_whole_limit():
    """Guards against trusting a clock that no other router confirmed."""
    record = pool_record.PoolRecord(
        1,
        "a#1",
        2.0,
        None,
        {"acme": account_bound.AccountBound(0, 50_000, 10_000, 1_000)},
    )
    assert record.max_granted_by("acme", 0.0) == 50_000


def test_unanswered_write_counts_as_stored_if_its_bound_is_lower():
    """Guards against spending under a record that was already replaced."""
    owned = make_owned_shard(account_bound.AccountBound(0, 50_000, 40_000, 0))
    lower = pool_record.PoolRecord(
        1,
        "a#1",
        2.0,
        101.0,
        {"acme": account_bound.AccountBound(0, 50_000, 5_000, 0)},
    )
    owned.on_write_sent(lower, 1.0)
    assert owned.available_tokens("acme", 1.0) == 5_000
    owned.on_write_failed(lower)
    assert owned.available_tokens("acme", 1.0) == 40_000


def test_available_tokens_are_not_negative_after_a_budget_cut():
    """Guards against handing out a negative number of tokens."""
    owned = make_owned_shard(account_bound.AccountBound(0, 50_000, 50_000, 0))
    owned.take_tokens("acme", 40_000, 40_000, routers=1, now_s=0.1)
    owned.update_prepaid({"acme": 20_000})
    assert owned.available_tokens("acme", 0.2) == 0
    taken = owned.take_tokens("acme", 100, 100, routers=1, now_s=0.2)
    assert taken.exhausted


def test_top_up_is_handed_out_only_after_a_write():
    """Guards against a top-up that two owners both hand out."""
    owned = make_owned_shard(account_bound.AccountBound(0, 900_000, 900_000, 0))
    owned.take_tokens("acme", 880_000, 880_000, routers=1, now_s=0.1)
    owned.update_prepaid({"acme": 2 * PREPAID_TOKENS})
    refused = owned.take_tokens("acme", 50_000, 50_000, routers=1, now_s=0.2)
    assert refused.tokens == 0
    assert not refused.exhausted
    owned.waiting_tokens["acme"] += 50_000
    planned = owned.due_record(1.0)
    assert planned is not None
    owned.on_write_stored(planned, 8, 1.0)
    assert owned.take_tokens(
        "acme", 50_000, 50_000, routers=1, now_s=1.1
    ).tokens


def test_record_of_an_idle_account_is_not_renewed():
    """Guards against writes to the store that change nothing."""
    owned = make_owned_shard(account_bound.AccountBound(0, 50_000, 10_000, 0))
    planned = owned.build_record(0.0)
    owned.on_write_stored(planned, 8, 0.0)
    assert all(
        owned.due_record(now_s) is None for now_s in (1.0, 5.0, 30.0, 300.0)
    )


@pytest.mark.parametrize("routers", [1, 9, 90])
def test_refill_of_one_router_leaves_tokens_for_the_others(routers):
    """Guards against one router that holds the tokens the others need."""
    owned = make_owned_shard(account_bound.AccountBound(0, 500_000, 100_000, 0))
    taken = owned.take_tokens("acme", 10, 100_000, routers=routers, now_s=0.1)
    assert 10 <= taken.tokens <= 100_000 // (2 * routers)


def test_reserve_serves_small_requests_after_the_rest_is_used_up():
    """Guards against accounts that serve no requests after a total failure.

    Simulates 40 small and 10 large requests a second for 10 s on an account
    of which only the reserve is left. Small requests must get at least 0.4 of
    the reserve, and some of it in each half of the time.
    """
    owned = make_owned_shard(account_bound.AccountBound(0, 0, 0, 0))
    reserve = int(account_pool.RESERVE_PREPAID_SHARE * PREPAID_TOKENS)
    owned.accounts["acme"].granted = PREPAID_TOKENS - reserve
    small = large = 0
    served_at_s: list[float] = []
    now_s = 0.0
    for tick in range(100):
        now_s = tick / 10
        owned.open_reserve_steps(now_s)
        planned = owned.due_record(now_s)
        if planned is not None:
            owned.on_write_stored(planned, tick, now_s)
        for _ in range(4):
            taken = owned.take_tokens("acme", 300, 300, routers=6, now_s=now_s)
            small += taken.tokens
            served_at_s += [now_s] * (taken.tokens > 0)
        large += (
            owned.take_tokens(
                "acme", 12_000, 12_000, routers=6, now_s=now_s
            ).tokens
            > 0
        )
    assert small >= 0.4 * reserve
    assert min(served_at_s) < 5.0 < max(served_at_s)
    assert large == 0
    assert owned.accounts["acme"].granted <= PREPAID_TOKENS


def test_stored_limit_excludes_the_reserve():
    """Guards against losing the reserve when an owner fails in an outage."""
    owned = make_owned_shard(account_bound.AccountBound(0, 0, 0, 0))
    owned.accounts["acme"].granted = 970_000
    planned = owned.build_record(0.0)
    reserve = int(account_pool.RESERVE_PREPAID_SHARE * PREPAID_TOKENS)
    assert planned.accounts["acme"].limit == PREPAID_TOKENS - reserve


def make_witnessed_shard(*, ceiling):
    """Return a shard whose stored record names witnesses of a ceiling."""
    witnesses = ("a#1", "b#1", "c#1")
    bound = account_bound.AccountBound(0, 90_000, 80_000, 0)
    record = pool_record.PoolRecord(
        1, "o#1", 2.0, 100.0, {"acme": bound}, witnesses
    )
    owned = owned_shard.OwnedShard(0, record, version=7, written_s=0.0)
    owned.update_prepaid({"acme": PREPAID_TOKENS})
    owned.next_witnesses = witnesses
    hold_ceiling(owned, ceiling, witnesses)
    return owned


def hold_ceiling(owned, ceiling, witnesses):
    vector = owned.ceilings.add_vector({"acme": ceiling})
    for witness in witnesses:
        owned.ceilings.on_acknowledged(witness, vector.number)


def test_owner_hands_out_only_what_its_witnesses_know():
    """Guards against tokens above the ceiling that a successor reads."""
    owned = make_witnessed_shard(ceiling=10_000)
    assert owned.available_tokens("acme", 0.1) == 10_000
    assert owned.is_limited_by_ceiling("acme", 20_000, 0.1)
    owned.take_tokens("acme", 8_000, 0, routers=1, now_s=0.1)
    assert owned.available_tokens("acme", 0.1) == 2_000
    assert owned.needs_ceilings(0.1)
    hold_ceiling(owned, 30_000, ("a#1", "c#1"))
    assert owned.available_tokens("acme", 0.1) == 22_000


def test_ceiling_above_the_stored_bound_makes_nothing_usable():
    """Guards against tokens beyond the bound if all routers are lost."""
    owned = make_witnessed_shard(ceiling=500_000)
    assert owned.available_tokens("acme", 0.1) == 80_000
    assert not owned.is_limited_by_ceiling("acme", 90_000, 0.1)


def test_record_names_witnesses_only_if_they_cover_all_tokens():
    """Guards against a successor that reads too low a ceiling."""
    owned = make_witnessed_shard(ceiling=50_000)
    owned.next_witnesses = ("b#1", "c#1", "d#1")
    owned.take_tokens("acme", 40_000, 0, routers=1, now_s=0.1)
    assert owned.build_record(0.2).witnesses == ("b#1", "c#1", "d#1")
    owned.next_witnesses = ("d#1", "e#1", "f#1")
    hold_ceiling(owned, 50_000, ("a#1", "b#1", "d#1"))
    assert owned.build_record(0.2).witnesses == ("a#1", "b#1", "c#1")
    hold_ceiling(owned, 50_000, ("d#1", "e#1"))
    assert owned.build_record(0.2).witnesses == ("d#1", "e#1", "f#1")


def test_ceilings_stay_close_to_the_tokens_handed_out():
    """Guards against an owner whose failure strands much of a budget."""
    owned = make_witnessed_shard(ceiling=10_000)
    for tick in range(100):
        now_s = 0.1 * tick
        if owned.needs_ceilings(now_s):
            targets = owned.ceiling_targets(now_s)
            hold_ceiling(owned, targets["acme"], ("a#1", "b#1"))
        owned.take_tokens("acme", 500, 500, routers=1, now_s=now_s)
    stranded = owned.usable("acme", 10.0) - owned.accounts["acme"].granted
    assert 0 < stranded < 0.01 * PREPAID_TOKENS


def test_reserve_is_left_to_the_most_urgent_requests():
    """Guards against last tokens that go to whatever fits. Issue 47.

    An account that nobody asks more urgently for leaves it to all.
    """
    limit = PREPAID_TOKENS
    owned = make_owned_shard(account_bound.AccountBound(0, limit, limit, 0))
    pool = owned.accounts["acme"]
    reserve = int(account_pool.RESERVE_PREPAID_SHARE * PREPAID_TOKENS)
    pool.granted = PREPAID_TOKENS - reserve
    owned.open_reserve_steps(0.0)
    assert pool.is_urgent(2, 0.0)
    assert pool.is_urgent(0, 1.0)
    assert not pool.is_urgent(2, 2.0)
    refused = owned.take_tokens(
        "acme", 50, 50, routers=3, now_s=2.0, urgent=False
    )
    assert (refused.tokens, refused.exhausted) == (0, True)
    assert owned.take_tokens("acme", 50, 50, routers=3, now_s=2.0).tokens == 50
    assert pool.is_urgent(2, 12.0)
