"""Tests of the prepaid bench: what it plays, and what the home reaches."""

from __future__ import annotations

import pytest

from jasminetally._bench import prepaid_bench
from jasminetally._bench import prepaid_scenario

SCENARIOS = {found.name: found for found in prepaid_scenario.SCENARIOS}
SEED = 1


@pytest.mark.parametrize("name", SCENARIOS)
def test_home_never_overspends(name):
    """Guards against bounds that don't cover what was handed out."""
    figures = prepaid_bench.run_one(SEED, SCENARIOS[name], "home")
    assert figures.overspent == 0


def test_static_split_overspends_after_a_loss():
    """Guards against a bench that can't see overspending."""
    scenario = SCENARIOS["all routers die"]
    figures = prepaid_bench.run_one(SEED, scenario, "static split")
    assert figures.overspent > 0


def test_home_refuses_nothing_owed_on_a_calm_day():
    """Guards against requests refused although the account has paid."""
    figures = prepaid_bench.run_one(SEED, SCENARIOS["calm"], "home")
    assert figures.owed_refusals == 0


@pytest.mark.parametrize(
    "name", ["all routers die", "outages", "routers die in turn"]
)
def test_home_serves_more_than_a_write_for_each_request(name):
    """Guards against bounds that cost more than the outages they bridge.

    Plays a loss of all routers, two outages of the store of 7 and 8 s, and
    the deaths of single routers. The store takes 400 writes/s for the fleet;
    a write for each request would take 110 of them for 60 requests/s.
    """
    scenario = SCENARIOS[name]
    home = prepaid_bench.run_one(SEED, scenario, "home")
    each = prepaid_bench.run_one(SEED, scenario, "write for each request")
    assert home.served >= 0.97 * each.served
    assert home.writes < each.writes / 4


def test_same_seed_gives_the_same_figures():
    """Guards against figures that can't be played again."""
    scenario = SCENARIOS["outages"]
    runs = [prepaid_bench.run_one(SEED, scenario, "home") for _ in range(2)]
    assert runs[0] == runs[1]
