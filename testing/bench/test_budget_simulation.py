"""Tests of the budget bench's figures and policies."""

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
    """Guards against figures that are not reproducible."""
    assert run(policy) == run(policy)


def test_cached_balance_overspends_in_a_partition():
    """Guards against a bench that does not detect overspend."""
    assert run("cached_balance")["overspend_tokens"] > 0


def test_static_split_bills_a_retry_at_another_router_twice():
    """Guards against a bench that does not detect double billing."""
    assert run("equal_static_split")["double_billed"] > 0


def test_update_per_request_neither_overspends_nor_bills_twice():
    """Guards against a simulation whose own errors weaken a baseline."""
    figures = run("conditional_update_per_request")
    assert (figures["overspend_tokens"], figures["double_billed"]) == (0, 0)


@pytest.mark.parametrize("fleet", deployment.DEPLOYMENTS.values())
@pytest.mark.parametrize("seed", [1, 2])
def test_own_policy_keeps_its_invariants_under_all_faults(fleet, seed):
    """Guards against overspend, double billing and repeated runs."""
    figures = run("jasminetally", seed=seed, fleet=fleet, duration_s=40.0)
    assert figures["overspend_tokens"] == 0
    assert figures["double_billed"] == 0
    assert figures["unexplained_tokens"] == 0
    assert figures["unrepeatable_runs_repeated"] == 0
    assert figures["peak_writes_per_s"] < 200


def test_recovery_frees_the_grants_of_dead_routers():
    """Guards against a recovery that never completes."""
    figures = run("jasminetally", duration_s=70.0, partitions=False)
    reports = list(figures["recoveries"].values())
    assert any(each["complete"] for each in reports)
    for each in reports:
        assert each["done_after_s"] is not None
        # Tokens may be freed only if a replica of the journal was found.
        assert (each["freed_tokens"] > 0) == each["complete"]
    assert figures["unexplained_tokens"] == 0


def test_refusal_counts_as_false_only_if_the_tokens_left_cover_it():
    """Guards against counting correct refusals as false or vice versa."""
    meter = budget_meter.BudgetMeter()
    meter.count_credit("b", 150)
    meter.count_refusal(request(), "early")
    meter.count_start(request())
    meter.count_refusal(request(key="other"), "in flight")
    meter.count_end(request(), 40)
    meter.count_refusal(request(key="other"), "settled")
    meter.count_refusal(request(key="other"), "again")
    figures = meter.report()
    assert figures["false_refusals_by_reason"] == {"early": 1, "settled": 1}
    assert figures["refusals"] == 4


def test_overspend_remains_after_a_later_top_up():
    """Guards against a later top-up that hides an overspend."""
    meter = budget_meter.BudgetMeter()
    meter.count_credit("b", 30)
    meter.count_start(request())
    meter.count_end(request(), 40)
    meter.count_credit("b", 1000)
    assert meter.report()["overspend_tokens"] == 10


def test_second_run_of_an_unrepeatable_request_is_counted():
    """Guards against a repeated run that the bench does not report."""
    meter = budget_meter.BudgetMeter()
    meter.count_start(request())
    meter.count_start(request())
    assert meter.report()["unrepeatable_runs_repeated"] == 1
