"""Tests of long partitions, long pauses and deaths near a settlement."""

from __future__ import annotations

import pytest


@pytest.fixture
def fleet(make_fleet):
    """Return three routers that share 20,000 tokens."""
    fleet = make_fleet(3)
    fleet.top_up("b", 20_000)
    fleet.advance(2.0)
    for name in list(fleet.managers):
        fleet.submit(name, "b", 900, 50, key_hash=f"first-{name}")
    fleet.advance(2.0)
    return fleet


@pytest.mark.parametrize(
    ("sides", "cut_off", "top_up_tokens"),
    [
        ({"r0#1": 1}, ["r0#1"], 0),
        ({"r0#1": 1}, [], 0),
        ({"r0#1": 1, "r1#1": 1}, ["r0#1", "r1#1"], 0),
        ({"r0#1": 1, "r1#1": 2}, ["r0#1", "r1#1", "r2#1"], 0),
        ({"r0#1": 1, "r1#1": 2}, ["r0#1", "r1#1", "r2#1"], 400_000),
    ],
)
def test_long_partition_with_top_ups_never_overspends(
    fleet, sides, cut_off, top_up_tokens
):
    """Guards against two sides of a partition that spend the same tokens.

    Routers that reach neither peers nor the platform have only their isolated
    share. A request runs only if the share covers its bound of 300 tokens,
    for which a budget of 20,000 tokens is too small.
    """
    fleet.top_up("b", top_up_tokens)
    for name in list(fleet.managers):
        fleet.submit(name, "b", 900, 50, key_hash=f"second-{name}")
    fleet.advance(2.0)
    fleet.partition(sides, cut_off)
    for number in range(60):
        for name in list(fleet.managers):
            key = f"{name}-{number}"
            fleet.submit(name, "b", 300, 150, key_hash=key)
        fleet.advance(5.0)
        fleet.check_invariants()
        if number % 12 == 0:
            fleet.top_up("b", 700)
    all_isolated = len(cut_off) == 3
    assert (fleet.used_tokens["b"] > 6 * 50) == (
        not all_isolated or top_up_tokens > 0
    )
    fleet.finish()


@pytest.mark.parametrize("before_s", [0.0, 0.003, 0.2, 0.51, 0.9, 1.6, 3.0])
def test_router_paused_for_long_resumes_safely(fleet, before_s):
    """Guards against a resumed router that uses tokens others have spent."""
    fleet.submit("r0#1", "b", 5000, 5000, key_hash="k")
    fleet.advance(before_s)
    fleet.pause("r0#1")
    for number in range(60):
        fleet.submit("r1#1", "b", 900, 900, key_hash=f"k{number}")
        fleet.advance(3.0)
    fleet.check_invariants()
    fleet.resume("r0#1")
    fleet.advance(5.0)
    fleet.finish()
    # A request that was not admitted before the pause is refused after it.
    assert fleet.answer_counts["k"] == 1 or before_s < 0.1
    found = fleet.store.record.requests.get("k")
    assert (found is not None) == bool(fleet.answer_counts["k"])


@pytest.mark.parametrize("before_s", [0.0, 0.003, 0.2, 0.51, 0.9, 1.6, 3.0])
def test_retry_after_a_death_is_billed_once(fleet, before_s):
    """Guards against double or missing bills when the first router dies."""
    fleet.submit("r0#1", "b", 2000, 1500, key_hash="k")
    fleet.advance(before_s)
    fleet.kill("r0#1")
    fleet.submit("r1#1", "b", 2000, 1500, key_hash="k")
    fleet.advance(3.0)
    fleet.recover_dead_routers()
    fleet.submit("r2#1", "b", 2000, 1500, key_hash="k", rerun=True)
    fleet.advance(3.0)
    entry = fleet.budgets()["b"]
    assert entry.settled == 3 * 50 + 1500
    assert entry.settled + entry.unbilled >= fleet.used_tokens["b"]
    fleet.finish()
