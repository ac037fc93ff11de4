"""Tests of orders against the engine stand-in."""

from __future__ import annotations

import time

import pytest

from jasminetally._orders import engine_effects
from jasminetally._orders import engine_events
from jasminetally._orders import engine_order
from jasminetally._orders import order_io
from jasminetally._platform import memory

ENGINE = "engine-1"
Outcome = engine_events.OrderOutcome


@pytest.fixture
def io(engine):
    made = order_io.OrderIo(
        memory.MemoryPlatform(), {ENGINE: engine.address}.get
    )
    yield made
    made.close()


def send(io, fencing, *, not_after_s=float("inf"), engine=ENGINE):
    item = engine_order.EngineOrder("set_role", "decode")
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
    assert send(io, 7, not_after_s=late_s) is Outcome.NOT_APPLIED
    state = io.perform(engine_effects.ReadEngine(ENGINE)).state
    assert state.role == "mixed"


def test_unreachable_engine_has_not_got_the_order(io, engine):
    """Guards against a wait for an order that was never sent."""
    engine.stop()
    assert send(io, 7) is Outcome.NOT_APPLIED
    assert send(io, 7, engine="gone") is Outcome.NOT_APPLIED
    assert io.perform(engine_effects.ReadEngine(ENGINE)).state is None
