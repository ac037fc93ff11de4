"""Tests of the route bench."""

from __future__ import annotations

import functools

import pytest

from jasminetally._bench import bench_options
from jasminetally._bench import route_bench
from jasminetally._bench import route_scenario
from jasminetally._bench import route_workload

SCENARIOS = {item.name: item for item in route_scenario.SCENARIOS}
# Target of the design: share of late answers at twice the capacity.
LATE_SHARE = 0.001


@functools.cache
def figures(seed, scenario, policy, deployment="zadruga"):
    return route_bench.run_one(
        seed,
        route_workload.WORKLOADS[deployment],
        SCENARIOS[scenario],
        policy,
    ).export()


def test_same_seed_gives_the_same_figures():
    """Guards against figures that are not reproducible."""
    short = SCENARIOS["crashing_request"]._replace(duration_s=15.0)
    workload = route_workload.WORKLOADS["pieghevole"]
    for policy in route_bench.POLICIES:
        first, second = (
            route_bench.run_one(4, workload, short, policy).export()
            for _ in range(2)
        )
        assert first == second


def test_each_request_is_counted_once():
    """Guards against requests that are missing from the figures."""
    counts = figures(2, "silent_connections", "random")
    assert counts["submitted"] == counts["accepted"] + counts["refused"]
    assert counts["accepted"] == sum(
        counts[key]
        for key in ("whole_in_time", "late", "lost", "unknown", "stopped")
    )


@pytest.mark.parametrize("seed", [1, 2])
def test_crashing_request_stops_at_two_engines(seed):
    """Guards against a request that crashes one engine after another."""
    assert figures(seed, "crashing_request", "jasminetally")["crashes"] <= 2


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize(
    "scenario", [name for name in SCENARIOS if name != "calm"]
)
def test_no_accepted_request_is_lost(seed, scenario):
    """Guards against accepted requests that end without an answer."""
    assert figures(seed, scenario, "jasminetally")["lost"] == 0


@pytest.mark.parametrize("seed", [1, 2])
def test_late_answers_are_rare_at_twice_capacity(seed):
    """Guards against accepting requests that will miss their deadline."""
    counts = figures(seed, "overload", "jasminetally")
    assert counts["late"] < LATE_SHARE * counts["accepted"]


@pytest.mark.parametrize("seed", [1, 2])
def test_more_answers_are_complete_in_time_than_with_either_baseline(seed):
    """Guards against a dispatcher that is worse than a baseline."""
    design, *baselines = (
        figures(seed, "overload", policy)["whole_in_time"]
        for policy in route_bench.POLICIES
    )
    assert design > max(baselines)


def test_result_has_the_documented_keys(monkeypatch):
    """Guards against keys missing from the result."""
    short = SCENARIOS["calm"]._replace(duration_s=5.0)
    monkeypatch.setattr(route_scenario, "SCENARIOS", (short,))
    result = route_bench.run(bench_options.BenchOptions(seed=3))
    assert (result["bench"], result["seed"]) == ("route", 3)
    keys = ("accepted", "whole_in_time", "late", "lost", "refused", "crashes")
    assert set(keys) <= set(result["policies"]["jasminetally"])
