"""Bench ``route``: compares the dispatcher to simpler policies.

The bench runs in virtual time; the same seed gives the same figures. Every
policy gets the same arrivals, engines, reports and faults.
"""

from __future__ import annotations

import random
from typing import TYPE_CHECKING
from typing import Any

from jasminetally._bench import route_baseline_router
from jasminetally._bench import route_engine
from jasminetally._bench import route_figures
from jasminetally._bench import route_scenario
from jasminetally._bench import route_simulation
from jasminetally._bench import route_workload
from jasminetally._routing import dispatcher
from jasminetally._routing import routing_policy

if TYPE_CHECKING:
    from jasminetally._bench import bench_options

POLICIES = ("jasminetally", "random", "least_load")


def run(options: bench_options.BenchOptions) -> dict[str, Any]:
    """Run every scenario under every policy.

    Args:
        options: The seed and the deployment.

    Returns:
        Figures for JSON: those of each policy in each scenario, and the sums
        over all scenarios.
    """
    workload = route_workload.WORKLOADS[options.deployment]
    totals = {name: route_figures.RouteFigures() for name in POLICIES}
    scenarios: dict[str, Any] = {}
    for scenario in route_scenario.SCENARIOS:
        scenarios[scenario.name] = {}
        for name in POLICIES:
            figures = run_one(options.seed, workload, scenario, name)
            totals[name].add(figures)
            scenarios[scenario.name][name] = figures.export()
    return {
        "bench": "route",
        "seed": options.seed,
        "deployment": options.deployment,
        "policies": {name: total.export() for name, total in totals.items()},
        "scenarios": scenarios,
    }


def run_one(
    seed: int,
    workload: route_workload.RouteWorkload,
    scenario: route_scenario.RouteScenario,
    name: str,
) -> route_figures.RouteFigures:
    """Run one scenario under one policy.

    Args:
        seed: Seed of arrivals, engines and faults.
        workload: Deployment and its mix of requests.
        scenario: Load and faults.
        name: Name of the policy, one of ``POLICIES``.
    """
    model = route_engine.RouteEngineModel()
    capacity = route_workload.capacity_per_s(workload, model)
    arrivals = route_workload.draw_arrivals(
        workload,
        rate_per_s=scenario.load * capacity,
        duration_s=scenario.duration_s,
        rng=random.Random(f"{seed}/{scenario.name}/arrivals"),
    )
    return route_simulation.RouteSimulation(
        routers=[
            _make_router(name, number, workload, seed)
            for number in range(workload.routers)
        ],
        arrivals=arrivals,
        engines=workload.engines,
        scenario=scenario,
        seed=f"{seed}/{scenario.name}",
    ).run()


def _make_router(
    name: str,
    number: int,
    workload: route_workload.RouteWorkload,
    seed: int,
) -> route_simulation.Router:
    rng = random.Random(f"{seed}/{name}/{number}")
    if name == "jasminetally":
        return dispatcher.Dispatcher(
            policy=routing_policy.RoutingPolicy(router=f"r{number}"), rng=rng
        )
    return route_baseline_router.BaselineRouter(
        least_load=name == "least_load",
        fleet_share=1.0 / workload.routers,
        rng=rng,
    )
