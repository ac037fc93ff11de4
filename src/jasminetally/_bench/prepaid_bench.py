"""Bench ``prepaid``: the home of prepaid tokens beside simpler ways.

Virtual time; the same seed gives the same figures. The decisions are those of
``_prepaid``; messages and writes take no time, so only what the bounds, the
tokens held and the faults cost is seen. Load and faults are those of the
users' days: a budget that most accounts use up, outages of the store, and the
loss of all routers.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING
from typing import Any

from jasminetally._bench import prepaid_baselines
from jasminetally._bench import prepaid_figures
from jasminetally._bench import prepaid_owner
from jasminetally._bench import prepaid_request
from jasminetally._bench import prepaid_scenario
from jasminetally._bench import prepaid_simulation

if TYPE_CHECKING:
    from jasminetally._bench import bench_options

POLICIES: dict[str, Callable[..., prepaid_simulation.PrepaidPolicy]] = {
    "home": prepaid_owner.PrepaidOwner,
    "static split": prepaid_baselines.StaticSplit,
    "write for each request": prepaid_baselines.WritePerRequest,
}


def run(options: bench_options.BenchOptions) -> dict[str, Any]:
    """Run all scenarios under all policies.

    Args:
        options: Seed; the deployment is not used.

    Returns:
        Figures of each policy for each scenario, and their sums.
    """
    totals = {name: prepaid_figures.PrepaidFigures() for name in POLICIES}
    scenarios: dict[str, Any] = {}
    for scenario in prepaid_scenario.SCENARIOS:
        scenarios[scenario.name] = {}
        for name in POLICIES:
            figures = run_one(options.seed, scenario, name)
            totals[name].add(figures)
            scenarios[scenario.name][name] = figures.export()
    return {
        "bench": "prepaid",
        "seed": options.seed,
        "policies": {name: total.export() for name, total in totals.items()},
        "scenarios": scenarios,
    }


def run_one(
    seed: int, scenario: prepaid_scenario.PrepaidScenario, policy: str
) -> prepaid_figures.PrepaidFigures:
    """Run one scenario under one policy.

    Args:
        seed: Seed of the arrivals.
        scenario: Load and faults.
        policy: One of ``POLICIES``.
    """
    requests = scenario.requests(seed)
    prepaid = _compute_prepaid(requests)
    simulation = prepaid_simulation.PrepaidSimulation(
        scenario, prepaid, POLICIES[policy](scenario, prepaid)
    )
    return simulation.run(requests)


def _compute_prepaid(
    requests: list[prepaid_request.PrepaidRequest],
) -> dict[str, int]:
    """Return what has been paid for, from what all requests would use."""
    return {
        str(account): int(
            share
            * sum(
                request.prompt_tokens + request.output_tokens
                for request in requests
                if request.account == account
            )
        )
        for account, share in enumerate(prepaid_scenario.PAID_SHARES)
    }
