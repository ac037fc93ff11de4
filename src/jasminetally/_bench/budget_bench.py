"""Bench ``budget``: budget policies on the same input in virtual time."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from jasminetally._bench import budget_world
from jasminetally._bench import cached_balance_policy
from jasminetally._bench import deployment
from jasminetally._bench import fault_plan
from jasminetally._bench import jasminetally_policy
from jasminetally._bench import per_request_policy
from jasminetally._bench import static_split_policy
from jasminetally._bench import workload

if TYPE_CHECKING:
    from jasminetally._bench import bench_options

DURATION_S = 180.0
POLICIES = {
    "jasminetally": jasminetally_policy.JasminetallyPolicy,
    "jasminetally_without_recovery": jasminetally_policy.without_recovery,
    "conditional_update_per_request": per_request_policy.PerRequestPolicy,
    "equal_static_split": static_split_policy.StaticSplitPolicy,
    "cached_balance": cached_balance_policy.CachedBalancePolicy,
}


def run(options: bench_options.BenchOptions) -> dict[str, object]:
    """Run every policy with partitions, without them and without faults.

    Args:
        options: ``seed`` determines workload and faults.

    Returns:
        One JSON object. ``policies`` has all faults, ``without_partitions``
        the same faults except partitions, ``without_faults`` none.
    """
    where = deployment.DEPLOYMENTS[options.deployment]
    load = workload.draw(random.Random(options.seed), where, DURATION_S)
    return {
        "bench": "budget",
        "seed": options.seed,
        "deployment": where.name,
        "policies": _run_all(
            where, load, _plan(options.seed, where, True), options.seed
        ),
        "without_partitions": _run_all(
            where, load, _plan(options.seed, where, False), options.seed
        ),
        "without_faults": _run_all(
            where, load, fault_plan.FaultPlan(), options.seed
        ),
    }


def _plan(
    seed: int, where: deployment.Deployment, partitions: bool
) -> fault_plan.FaultPlan:
    # An own source, so that faults don't change the workload of a seed.
    rng = random.Random(seed + 1_000_000)
    return fault_plan.draw(rng, where, DURATION_S, partitions=partitions)


def _run_all(
    where: deployment.Deployment,
    load: workload.Workload,
    plan: fault_plan.FaultPlan,
    seed: int,
) -> dict[str, dict[str, object]]:
    return {
        name: budget_world.BudgetWorld(
            where, load, plan, make_policy, seed=seed
        ).run()
        for name, make_policy in POLICIES.items()
    }
