"""Bench ``prepaid``: compares the owner of prepaid tokens to baselines.

The bench runs in virtual time; the same seed gives the same figures. The
decisions are those of ``_prepaid``. Messages and writes take no time, so the
figures show only the cost of the bounds, of the tokens held by routers and of
faults. Load and faults are modelled on the users' days: most accounts use up
their budget, the store has outages and all routers crash.
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
    """Run every scenario under every policy.

    Args:
        options: The seed; other options are not used.

    Returns:
        Figures for JSON: those of each policy in each scenario, and the sums
        over all scenarios.
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
        policy: Name of the policy, a key of ``POLICIES``.
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
    """Return the prepaid tokens by account, a share of the total use."""
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
