"""Tests of orders against the engine stand-in."""

from __future__ import annotations

import collections
import pathlib
import time

import pytest

from jasminetally._config import manifest_file
from jasminetally._orders import engine_effects
from jasminetally._orders import engine_events
from jasminetally._orders import order_io
from jasminetally._orders import order_item
from jasminetally._orders import order_manager
from jasminetally._orders import order_policy
from jasminetally._platform import memory
from jasminetally._standin import engine_model
from jasminetally._standin import engine_server

EXAMPLE = (
    pathlib.Path(__file__).parents[2] / "docs" / "examples" / "manifest.yaml"
)
ENGINE = "engine-2"
Outcome = engine_events.OrderOutcome


@pytest.fixture
def engine():
    server = engine_server.EngineServer(
        name=ENGINE,
        models=["other"],
        model=engine_model.EngineModel(load_model_s=0.01),
    )
    server.start()
    yield server
    server.stop()


@pytest.fixture
def io(engine):
    made = order_io.OrderIo(
        memory.MemoryPlatform(), {ENGINE: engine.address}.get
    )
    yield made
    made.close()


def send(io, fencing, *, not_after_s=float("inf"), engine=ENGINE):
    item = order_item.OrderItem("set_role", "decode")
    effect = engine_effects.SendOrder(engine, item, fencing, not_after_s, 5.0)
    return io.perform(effect).outcome


def test_engine_that_checks_refuses_an_old_fencing_number(io):
    """Guards against a reply of the engine that is taken for another."""
    assert send(io, 7) is Outcome.ACCEPTED
    assert send(io, 6) is Outcome.REFUSED_FENCING
    state = io.perform(engine_effects.ReadEngine(ENGINE)).state
    assert (state.role, state.models) == ("decode", {"other"})


def test_order_after_the_lease_is_not_sent(io):
    """Guards against a pause between the decision and the call."""
    late_s = time.monotonic() - 0.001
    assert send(io, 7, not_after_s=late_s) is Outcome.NOT_SENT
    state = io.perform(engine_effects.ReadEngine(ENGINE)).state
    assert state.role == "mixed"


def test_unreachable_engine_has_not_got_the_order(io, engine):
    """Guards against a wait for an order that was never sent."""
    engine.stop()
    assert send(io, 7) is Outcome.NOT_SENT
    assert send(io, 7, engine="gone") is Outcome.NOT_SENT
    assert io.perform(engine_effects.ReadEngine(ENGINE)).state is None


def test_engine_reaches_the_state_in_the_manifest(io):
    """Guards against decisions and execution that don't fit together."""
    manager = order_manager.OrderManager(
        incarnation="a#1",
        policy=order_policy.OrderPolicy(retry_s=0.01, loads_burst=5),
    )
    manager.on_members(["a"])
    manager.on_config(manifest_file.load(str(EXAMPLE)))
    report = io.perform(engine_effects.ReadEngine(ENGINE))
    waiting = collections.deque(manager.handle(report, time.monotonic()))
    for _ in range(1000):
        if waiting:
            event = io.perform(waiting.popleft())
            waiting += manager.handle(event, time.monotonic())
        elif manager.leases:
            time.sleep(0.01)
            waiting += manager.tick(time.monotonic())
    state = io.perform(engine_effects.ReadEngine(ENGINE)).state
    assert state.versions == {"notes-7b@3"}
    assert state.adapters == {"hotel-tone@2"}
    assert manager.leases == 0
