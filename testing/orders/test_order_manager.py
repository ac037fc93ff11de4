"""Tests of rendezvous hashing and of the choice of engines."""

from __future__ import annotations

import random

import pytest

from jasminetally._orders import engine_events
from jasminetally._orders import engine_state
from jasminetally._orders import lease_events
from jasminetally._orders import order_manager
from jasminetally._orders import order_policy
from jasminetally._shared import rendezvous


def test_steps_give_the_same_owners_as_a_full_computation():
    """Guards against two routers that hold different owners for long."""
    rng = random.Random(5)
    assignment = rendezvous.Assignment()
    keys = [f"engine-{number}" for number in range(60)]
    for _ in range(40):
        instances = rng.sample("abcdefgh", rng.randint(0, 8))
        some = rng.sample(keys, 50)
        assignment.set_instances(instances)
        assignment.set_keys(some)
        expected = {
            key: rendezvous.choose_owner(key, instances) for key in some
        }
        assert {key: assignment.owner(key) for key in some} == expected


def test_leaving_instance_moves_only_its_own_keys():
    """Guards against leases that change hands with each restart."""
    keys = [f"engine-{number}" for number in range(200)]
    before = {key: rendezvous.choose_owner(key, "abcd") for key in keys}
    after = {key: rendezvous.choose_owner(key, "abc") for key in keys}
    moved = {key for key in keys if before[key] != after[key]}
    assert moved == {key for key in keys if before[key] == "d"}
    assert 25 <= len(moved) <= 75


@pytest.fixture
def managers(example):
    made = {}
    for name in ("a", "b"):
        made[name] = order_manager.OrderManager(
            incarnation=f"{name}#1", policy=order_policy.OrderPolicy()
        )
        made[name].on_ready_routers(("a", "b"))
        made[name].on_config(example)
    return made


def report_old_state(manager, engine):
    state = engine_state.EngineState()
    event = engine_events.EngineReported(engine, state)
    return manager.handle(event, 0.0)


@pytest.mark.parametrize("engine", ["engine-1", "engine-2"])
def test_one_router_acts_for_each_engine(managers, engine):
    """Guards against routers that all compete for each lease."""
    acting = [
        name
        for name, manager in managers.items()
        if report_old_state(manager, engine)
    ]
    assert acting == [rendezvous.choose_owner(engine, ("a", "b"))]


def test_drain_releases_the_lease(managers):
    """Guards against engines without a holder after a shutdown."""
    manager = managers[rendezvous.choose_owner("engine-1", ("a", "b"))]
    report_old_state(manager, "engine-1")
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
