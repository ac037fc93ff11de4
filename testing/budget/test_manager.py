"""Tests of budget managers in a fleet, one failure mode each."""

from __future__ import annotations

import pytest

from jasminetally._budget import claim_request
from jasminetally._budget import grant_policy
from jasminetally._budget import known_results
from jasminetally._budget import platform_effects
from jasminetally._budget import reserve_request
from jasminetally._ledger import request_entry
from jasminetally._shared import token_bucket


@pytest.fixture
def fleet(make_fleet):
    """Return three routers that share 30,000 tokens."""
    fleet = make_fleet(3)
    fleet.top_up("b", 30_000)
    fleet.advance(2.0)
    return fleet


def submit(fleet, router="r0#1", bound=100, key="k", body="x", **options):
    return fleet.submit(
        router, "b", bound, bound, key_hash=key, fingerprint=body, **options
    )


def test_completed_key_is_answered_by_every_router(fleet):
    """Guards against running a request again after a retry elsewhere."""
    submit(fleet)
    fleet.advance(3.0)
    submit(fleet, "r1#1", key="other")
    fleet.advance(3.0)
    retries = [submit(fleet, "r0#1"), submit(fleet, "r1#1")]
    assert [fleet.results[r] for r in retries] == ["AlreadyCompleted"] * 2


def test_key_with_another_body_is_refused(fleet):
    """Guards against answering a request with the answer of another."""
    submit(fleet)
    fleet.advance(0.7)
    found = submit(fleet, body="y")
    assert fleet.results[found] == "FingerprintMismatch"


def test_concurrent_runs_of_a_key_are_billed_once(fleet):
    """Guards against billing twice when a caller retries at two routers."""
    for router in ("r0#1", "r1#1", "r0#1"):
        submit(fleet, router)
    fleet.advance(3.0)
    entry = fleet.budgets()["b"]
    assert (entry.settled, entry.unbilled) == (100, 200)


def test_late_rerun_of_a_key_is_unbilled(fleet):
    """Guards against billing a run whose stored answer was lost."""
    submit(fleet)
    fleet.advance(3.0)
    submit(fleet, rerun=True)
    fleet.advance(3.0)
    entry = fleet.budgets()["b"]
    assert (entry.settled, entry.unbilled) == (100, 100)


def test_concurrent_claims_run_once(fleet):
    """Guards against a second run of a request that may run only once."""
    for router in ("r0#1", "r1#1", "r2#1", "r0#1"):
        submit(fleet, router, needs_claim=True)
    fleet.advance(3.0)
    assert fleet.claimed_run_counts["k"] == 1
    assert fleet.budgets()["b"].settled == 100


@pytest.mark.parametrize("fault", ["lost", "late"])
def test_claim_with_a_lost_reply_runs_at_most_once(fleet, fault):
    """Guards against a second run after the reply to a claim was lost."""
    fleet.store.fault = fault
    submit(fleet, needs_claim=True)
    fleet.advance(1.0)
    fleet.store.fault = None
    fleet.advance(3.0)
    submit(fleet, "r1#1", needs_claim=True)
    fleet.advance(3.0)
    assert fleet.claimed_run_counts["k"] == 1


def test_claim_is_refused_at_once_in_a_platform_outage(fleet):
    """Guards against delaying a refusal until the end of an outage."""
    submit(fleet, key="first")
    fleet.advance(2.0)
    fleet.partition({}, cut_off=fleet.managers)
    found = submit(fleet, needs_claim=True)
    fleet.advance(0.5)
    assert fleet.results[found] == "ClaimUnavailable"
    assert fleet.claimed_run_counts["k"] == 0
    again = submit(fleet, needs_claim=True)
    fleet.advance(0.01)
    assert fleet.results[again] == "ClaimUnavailable"


def test_expired_claim_is_released(fleet):
    """Guards against an expired claim that blocks all later retries.

    The claim takes effect although its reply is lost and it is refused.
    """
    submit(fleet, key="first")
    fleet.advance(2.0)
    fleet.store.fault = "lost"
    manager = fleet.managers["r0#1"]
    submit(fleet, needs_claim=True, wait_s=2.0)
    fleet.advance(0.05)
    item = manager._context.change_queue.claims()[0]
    item.expires_s = fleet.now
    fleet.advance(0.05)
    fleet.store.fault = None
    fleet.advance(3.0)
    assert "k" not in fleet.store.record.requests
    submit(fleet, "r1#1", needs_claim=True)
    fleet.advance(3.0)
    assert fleet.claimed_run_counts["k"] == 1


def test_claimed_request_does_not_run_again_after_a_death(fleet):
    """Guards against a second run of a request that may have run."""
    submit(fleet, needs_claim=True)
    fleet.advance(0.2)
    fleet.kill("r0#1")
    found = submit(fleet, "r1#1", needs_claim=True)
    fleet.advance(3.0)
    assert fleet.results[found] == "AlreadyClaimed"
    entry = fleet.store.record.requests["k"]
    assert entry.state == request_entry.CLAIMED
    assert fleet.claimed_run_counts["k"] == 1


def test_partitioned_router_spends_its_grant(fleet):
    """Guards against refusals on a side that can't reach the platform."""
    for number in range(5):
        submit(fleet, key=f"k{number}")
    fleet.advance(2.0)
    fleet.partition({"r0#1": 1}, cut_off={"r0#1"})
    fleet.top_up("b", 5000)
    fleet.advance(60.0)
    found = submit(fleet, bound=50, key="late")
    assert fleet.results[found] == "admitted"
    fleet.finish()


def test_isolated_router_spends_only_its_isolated_share(fleet):
    """Guards against runs that recovery can't account for.

    The router reaches no peer that could hold its journal.
    """
    submit(fleet, bound=1000)
    fleet.advance(2.0)
    fleet.partition({"r0#1": 1}, cut_off={"r0#1"})
    share = fleet.budgets()["b"].grants["r0#1/1"].isolated
    for number in range(40):
        submit(fleet, bound=100, key=f"isolated{number}")
    fleet.advance(3.0)
    used_tokens = fleet.used_tokens["b"] - 1000
    assert 0 < used_tokens <= share
    fleet.kill("r0#1")
    fleet.heal()
    fleet.recover_dead_routers()
    entry = fleet.budgets()["b"]
    assert entry.settled + entry.unbilled >= fleet.used_tokens["b"]


def test_peers_transfer_tokens_while_the_platform_is_down(fleet):
    """Guards against refusals while a peer holds unused tokens."""
    submit(fleet, "r1#1", bound=1000)
    fleet.advance(2.0)
    fleet.partition({}, cut_off=fleet.managers)
    found = submit(fleet, "r0#1", bound=1000, key="other")
    fleet.advance(0.2)
    assert fleet.results[found] == "admitted"
    fleet.finish()


def test_exhausted_budget_is_refused_without_waiting(fleet):
    """Guards against delaying a refusal that can't change."""
    found = submit(fleet, bound=30_001)
    fleet.advance(0.05)
    assert fleet.results[found] == "budget_exhausted"


def test_top_up_admits_a_waiting_request(fleet):
    """Guards against a refusal shortly before a top-up arrives."""
    first = submit(fleet, "r0#1", bound=30_000, key="all")
    fleet.advance(0.1)
    found = submit(fleet, "r1#1", bound=200, key="more")
    fleet.advance(0.1)
    fleet.top_up("b", 500)
    fleet.advance(0.5)
    assert fleet.results[first] == fleet.results[found] == "admitted"


def test_unused_tokens_admit_a_waiting_request(fleet):
    """Guards against a refusal shortly before another request settles."""
    fleet.submit("r0#1", "b", 29_950, 100, key_hash="large")
    fleet.advance(0.1)
    found = submit(fleet, "r1#1", bound=1000, key="waits")
    fleet.advance(1.9)
    assert fleet.results[found] == "admitted"


def test_idle_grants_are_returned(fleet):
    """Guards against tokens held by a router without demand."""
    submit(fleet)
    fleet.advance(5.0)
    assert fleet.budgets()["b"].grants
    fleet.advance(40.0)
    assert not fleet.budgets()["b"].grants


def test_drain_refuses_requests_and_returns_all_tokens(fleet):
    """Guards against tokens held by a router that has exited."""
    submit(fleet)
    fleet.advance(0.1)
    fleet.drain()
    found = submit(fleet, key="late")
    assert fleet.results[found] == "draining"
    fleet.finish()


def test_fenced_router_refuses_requests(fleet):
    """Guards against admissions after the router's grants were reclaimed."""
    submit(fleet)
    fleet.advance(3.0)
    revived = fleet.managers["r0#1"]
    fleet.kill("r0#1")
    fleet.recover_dead_routers()
    fleet.managers["r0#1"] = revived
    fleet.call(
        "r0#1",
        lambda m: m.on_record(fleet.store.record, fleet.store.version, 9.0),
    )
    found = submit(fleet, key="late")
    assert revived.fenced
    assert fleet.results[found] == "fenced"


def test_unknown_budget_is_refused(fleet):
    """Guards against requests that wait for a budget that does not exist."""
    found = fleet.submit("r0#1", "nowhere", 10, 10, key_hash="k")
    assert fleet.results[found] == "unknown_budget"


def test_no_second_write_before_the_result_of_the_first(make_fleet):
    """Guards against two writes at once.

    A watch delivers the written record before the result of the write.
    """
    fleet = make_fleet(1)
    manager = fleet.managers["r0#1"]
    request = reserve_request.ReserveRequest("q", "b", 10, 100.0)
    manager.on_record(None, 0, 0.0)
    fleet.top_ups["b"] = {"t": 100}
    fleet.send_config()
    fleet.advance(0.0)
    effects = manager.reserve(request, 0.0)
    writes = [
        effect
        for effect in effects
        if isinstance(effect, platform_effects.WriteRecord)
    ]
    fleet.store.write(writes[0].value, 0)
    watched = manager.on_record(fleet.store.record, 1, 0.01)
    manager.claim(claim_request.ClaimRequest("q", "k", "x", "e", 100.0), 0.01)
    ticked = manager.tick(0.5)
    replied = manager.on_written(known_results.Written(1), 0.6)
    kinds = [type(effect).__name__ for effect in watched + ticked + replied]
    assert kinds == ["Admit", "WriteRecord"]


def test_write_limiter_limits_the_rate():
    """Guards against exceeding the platform's write rate."""
    limiter = token_bucket.TokenBucket(rate_per_s=10.0, burst=2.0)
    taken = sum(limiter.try_take(step / 100) for step in range(101))
    assert taken == 2 + 10
    assert grant_policy.GrantPolicy().fleet_writes_per_s <= 200


def test_isolated_router_raises_its_isolated_share(fleet):
    """Guards against refusals by a router that reaches only the platform."""
    submit(fleet, bound=1000)
    fleet.advance(2.0)
    fleet.partition({"r0#1": 1})
    found = [
        submit(fleet, bound=500, key=f"isolated{number}") for number in range(9)
    ]
    fleet.advance(0.5)
    assert {fleet.results[each] for each in found} == {"admitted"}
    fleet.kill("r0#1")
    fleet.heal()
    fleet.recover_dead_routers()
    entry = fleet.budgets()["b"]
    assert entry.settled + entry.unbilled >= fleet.used_tokens["b"]
