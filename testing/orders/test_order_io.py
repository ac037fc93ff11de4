"""Tests of calls to a stand-in engine."""

from __future__ import annotations

import time

import pytest
import urllib3

from jasminetally._orders import engine_effects
from jasminetally._orders import engine_events
from jasminetally._orders import engine_order
from jasminetally._orders import order_io
from jasminetally._platform import memory
from jasminetally._shared import retry_after

ENGINE = "engine-1"
OrderOutcome = engine_events.OrderOutcome


@pytest.fixture
def io(engine):
    order_io_ = order_io.OrderIo(
        memory.MemoryPlatform(), {ENGINE: engine.address}.get
    )
    yield order_io_
    order_io_.close()


def send_order(io, fencing_number, *, not_after_s=float("inf"), engine=ENGINE):
    order = engine_order.EngineOrder("set_role", "decode")
    effect = engine_effects.SendOrder(
        engine, order, fencing_number, not_after_s, 5.0
    )
    return io.perform(effect).outcome


def test_engine_refuses_a_lower_fencing_number(io):
    """Guards against replies of the engine that are read as another outcome."""
    assert send_order(io, 7) is OrderOutcome.ACCEPTED
    assert send_order(io, 6) is OrderOutcome.REFUSED_FENCING
    state = io.perform(engine_effects.ReadEngine(ENGINE)).state
    assert (state.role, state.models) == ("decode", {"other"})


def test_order_is_not_sent_after_its_time_limit(io):
    """Guards against late orders after a pause between decision and call."""
    late_s = time.monotonic() - 0.001
    assert send_order(io, 7, not_after_s=late_s) is OrderOutcome.NOT_APPLIED
    state = io.perform(engine_effects.ReadEngine(ENGINE)).state
    assert state.role == "mixed"


def test_order_to_an_unreachable_engine_is_not_applied(io, engine):
    """Guards against waiting for the effect of an order that was never sent."""
    engine.stop()
    assert send_order(io, 7) is OrderOutcome.NOT_APPLIED
    assert send_order(io, 7, engine="gone") is OrderOutcome.NOT_APPLIED
    assert io.perform(engine_effects.ReadEngine(ENGINE)).state is None


def test_pause_asked_for_by_an_engine_is_bounded(io, monkeypatch):
    """Guards against an engine that gets no more loads (issue 23)."""
    reply = urllib3.HTTPResponse(status=429, headers={"Retry-After": "inf"})
    monkeypatch.setattr(urllib3.PoolManager, "request", lambda *_, **__: reply)
    order = engine_order.EngineOrder("set_role", "decode")
    effect = engine_effects.SendOrder(ENGINE, order, 7, float("inf"), 5.0)
    ended = io.perform(effect)
    assert ended.outcome is OrderOutcome.RATE_LIMITED
    assert ended.retry_after_s <= retry_after.MAX_DELAY_S
