"""Tests of engine replies that are cut before their end."""

from __future__ import annotations

import pytest

from jasminetally._orders import engine_effects
from jasminetally._orders import engine_events
from jasminetally._orders import engine_order
from jasminetally._orders import order_io
from jasminetally._platform import memory
from testing.shared import reply_cuts

ENGINE = "engine-1"


@pytest.fixture
def io(scripted):
    created = order_io.OrderIo(
        memory.MemoryPlatform(), {ENGINE: scripted.address}.get
    )
    yield created
    created.close()


@pytest.mark.parametrize(("reset", "kept"), reply_cuts.ALL_CUTS)
@pytest.mark.parametrize("status", [200, 400, 404, 409, 429, 503])
def test_order_with_a_cut_reply_has_an_unknown_outcome(
    scripted, io, status, reset, kept
):
    """Guards against an order that is taken as accepted or not applied."""
    order = engine_order.EngineOrder("set_role", "decode")
    effect = engine_effects.SendOrder(ENGINE, order, 7, float("inf"), 5.0)
    data = reply_cuts.Reply(status, b'{"ok": 1}').encode("length")
    missed = reply_cuts.cuts_taken_for_whole(
        scripted,
        lambda: (
            io.perform(effect).outcome is not engine_events.OrderOutcome.UNKNOWN
        ),
        data,
        whole=data,
        reset=reset,
        kept=kept,
    )
    assert not missed


@pytest.mark.parametrize(("reset", "kept"), reply_cuts.ALL_CUTS)
@pytest.mark.parametrize("framing", reply_cuts.FRAMINGS)
def test_cut_report_is_not_a_state(scripted, io, framing, reset, kept):
    """Guards against a part of a report that counts as an engine's state."""
    data = reply_cuts.Reply(200, b'{"role": "decode"}').encode(framing)
    missed = reply_cuts.cuts_taken_for_whole(
        scripted,
        lambda: io.perform(engine_effects.ReadEngine(ENGINE)).state is not None,
        data,
        whole=data,
        reset=reset,
        kept=kept,
    )
    assert not missed
