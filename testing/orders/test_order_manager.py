"""Tests of the assignment of engines to routers."""

from __future__ import annotations

import random

import pytest

from jasminetally._orders import engine_events
from jasminetally._orders import engine_state
from jasminetally._orders import lease_events
from jasminetally._orders import order_manager
from jasminetally._orders import order_policy
from jasminetally._shared import rendezvous


def test_incremental_assignment_equals_a_full_computation():
    """Guards against routers that disagree about owners for a long time."""
    rng = random.Random(5)
    assignment = rendezvous.Assignment()
    keys = [f"engine-{number}" for number in range(60)]
    for _ in range(40):
        instances = rng.sample("abcdefgh", rng.randint(0, 8))
        current_keys = rng.sample(keys, 50)
        assignment.set_instances(instances)
        assignment.set_keys(current_keys)
        expected = {
            key: rendezvous.choose_owner(key, instances) for key in current_keys
        }
        assert {key: assignment.owner(key) for key in current_keys} == expected


def test_removed_instance_moves_only_its_own_keys():
    """Guards against leases that change their holder with each restart."""
    keys = [f"engine-{number}" for number in range(200)]
    before = {key: rendezvous.choose_owner(key, "abcd") for key in keys}
    after = {key: rendezvous.choose_owner(key, "abc") for key in keys}
    moved = {key for key in keys if before[key] != after[key]}
    assert moved == {key for key in keys if before[key] == "d"}
    assert 25 <= len(moved) <= 75


@pytest.fixture
def managers(example_manifest):
    managers = {}
    for name in ("a", "b"):
        managers[name] = order_manager.OrderManager(
            incarnation=f"{name}#1", policy=order_policy.OrderPolicy()
        )
        managers[name].on_ready_routers(("a", "b"))
        managers[name].on_config(example_manifest)
    return managers


def report_empty_state(manager, engine):
    state = engine_state.EngineState()
    event = engine_events.EngineReported(engine, state)
    return manager.handle(event, 0.0)


@pytest.mark.parametrize("engine", ["engine-1", "engine-2"])
def test_exactly_one_router_requests_the_lease_of_an_engine(managers, engine):
    """Guards against routers that all compete for the same lease."""
    active = [
        name
        for name, manager in managers.items()
        if report_empty_state(manager, engine)
    ]
    assert active == [rendezvous.choose_owner(engine, ("a", "b"))]


def test_drain_releases_the_leases(managers):
    """Guards against engines that wait for a lease left by a shutdown."""
    manager = managers[rendezvous.choose_owner("engine-1", ("a", "b"))]
    report_empty_state(manager, "engine-1")
    manager.handle(lease_events.LeaseRead("engine-1", None, 0), 0.0)
    written = lease_events.LeaseWritten(
        "engine-1", lease_events.WriteOutcome.WRITTEN, 3
    )
    manager.handle(written, 0.0)
    assert manager.lease_count == 1
    manager.drain()
    (release,) = manager.tick(0.5)
    assert release.lease.holder == ""
    manager.handle(written, 0.6)
    assert manager.lease_count == 0
    assert manager.tick(0.7) == []
