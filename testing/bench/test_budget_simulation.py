"""Tests of the budget bench's measures and baselines."""

from __future__ import annotations

import random

import pytest

from jasminetally._bench import bench_request
from jasminetally._bench import budget_bench
from jasminetally._bench import budget_meter
from jasminetally._bench import budget_simulation
from jasminetally._bench import deployment
from jasminetally._bench import fault_plan
from jasminetally._bench import workload

DURATION_S = 20.0


def run(
    policy,
    *,
    seed=5,
    fleet=deployment.ZADRUGA,
    duration_s=DURATION_S,
    partitions=True,
):
    rng = random.Random(seed)
    plan = fault_plan.draw_plan(rng, fleet, duration_s, partitions=partitions)
    load = workload.draw_workload(random.Random(seed), fleet, duration_s)
    return budget_simulation.BudgetSimulation(
        fleet, load, plan, budget_bench.POLICIES[policy], seed=seed
    ).run()


def request(*, key="k", bound=100, tokens=40, repeatable=False):
    return bench_request.BenchRequest(
        key, "a", "b", bound, tokens, 1.0, repeatable, 0.0, ("r",), 9.0, False
    )


@pytest.mark.parametrize("policy", budget_bench.POLICIES)
def test_same_seed_gives_the_same_figures(policy):
    """Guards against figures that nobody can reproduce."""
    assert run(policy) == run(policy)


def test_cached_balance_overspends_in_a_partition():
    """Guards against a bench that cannot see an overspend."""
    assert run("cached_balance")["overspend_tokens"] > 0


def test_static_split_bills_a_retry_at_another_router_twice():
    """Guards against a bench that cannot see a double bill."""
    assert run("equal_static_split")["double_billed"] > 0


def test_update_per_request_neither_overspends_nor_bills_twice():
    """Guards against a baseline weakened by faults of the harness."""
    found = run("conditional_update_per_request")
    assert (found["overspend_tokens"], found["double_billed"]) == (0, 0)


@pytest.mark.parametrize("where", deployment.DEPLOYMENTS.values())
@pytest.mark.parametrize("seed", [1, 2])
def test_design_policy_keeps_the_invariants_through_all_faults(fleet, seed):
    """Guards against overspend, double bills and repeated tasks."""
    found = run("jasminetally", seed=seed, fleet=fleet, duration_s=40.0)
    assert found["overspend_tokens"] == 0
    assert found["double_billed"] == 0
    assert found["unexplained_tokens"] == 0
    assert found["unrepeatable_runs_repeated"] == 0
    assert found["peak_writes_per_s"] < 200


def test_recovery_frees_the_grants_of_dead_routers():
    """Guards against a recovery that the daemon's events never finish."""
    found = run("jasminetally", duration_s=70.0, partitions=False)
    reports = list(found["recoveries"].values())
    assert any(each["complete"] for each in reports)
    for each in reports:
        assert each["done_after_s"] is not None
        # Without a journal peer's copy nothing may be freed.
        assert (each["freed_tokens"] > 0) == each["complete"]
    assert found["unexplained_tokens"] == 0


def test_refusal_counts_as_false_only_while_the_exact_account_has_room():
    """Guards against counting correct refusals as false or the reverse."""
    meter = budget_meter.BudgetMeter()
    meter.count_credit("b", 150)
    meter.count_refusal(request(), "early")
    meter.count_start(request())
    meter.count_refusal(request(key="other"), "in flight")
    meter.count_end(request(), 40)
    meter.count_refusal(request(key="other"), "settled")
    meter.count_refusal(request(key="other"), "again")
    found = meter.report()
    assert found["false_refusals_by_reason"] == {"early": 1, "settled": 1}
    assert found["refusals"] == 4


def test_overspend_remains_after_a_later_top_up():
    """Guards against a top-up that hides an earlier overspend."""
    meter = budget_meter.BudgetMeter()
    meter.count_credit("b", 30)
    meter.count_start(request())
    meter.count_end(request(), 40)
    meter.count_credit("b", 1000)
    assert meter.report()["overspend_tokens"] == 10


def test_second_run_of_a_request_that_may_run_once_is_counted():
    """Guards against a repeated task that the bench doesn't report."""
    meter = budget_meter.BudgetMeter()
    meter.count_start(request())
    meter.count_start(request())
    assert meter.report()["unrepeatable_runs_repeated"] == 1
