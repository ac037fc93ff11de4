"""Tests of the drain of a router."""

from __future__ import annotations

import pytest

from jasminetally._membership import drain_effects
from jasminetally._membership import drain_events
from jasminetally._membership import drain_state
from jasminetally._membership import router_state

Step = drain_effects.DrainStep
ALL_REMAINING = drain_events.RemainingWork(2, 3, 1, 1, True)


@pytest.fixture
def draining():
    state = drain_state.DrainState()
    state.handle(drain_events.BecameReady(), 0.0)
    effects = state.handle(drain_events.TerminationRequested(), 1.0)
    assert effects == [drain_effects.PublishState(ready=False)]
    return state


def test_request_in_flight_is_never_aborted(draining):
    """Guards against a drain that exits on a timeout."""
    for now_s in (2.0, 120.0, 86_400.0):
        assert draining.handle(ALL_REMAINING, now_s) == []
    assert draining.state is router_state.RouterState.DRAINING


def test_all_steps_are_performed_in_order_before_the_exit(draining):
    """Guards against grants that are not returned by a clean shutdown."""
    performed = []
    counts = {"settlements": 2, "grants": 1, "leases": 1, "status_exists": True}
    field_by_step = {
        Step.WRITE_SETTLEMENTS: "settlements",
        Step.RETURN_GRANTS: "grants",
        Step.RELEASE_LEASES: "leases",
        Step.DELETE_STATUS: "status_exists",
    }
    for now_s in range(2, 20):
        remaining = drain_events.RemainingWork(0, **counts)
        for effect in draining.handle(remaining, float(now_s)):
            performed.append(effect)
            if isinstance(effect, drain_effects.PerformStep):
                counts[field_by_step[effect.step]] = 0
    assert performed == [
        *(drain_effects.PerformStep(step) for step in field_by_step),
        drain_effects.ExitProcess(0),
    ]


def test_step_is_repeated_during_a_store_outage(draining):
    """Guards against an exit before all settlements are written."""
    remaining = drain_events.RemainingWork(0, 1, 0, 0, True)
    times = [2.0, 2.5, 3.0, 3.9, 4.0]
    effect_counts = [len(draining.handle(remaining, now_s)) for now_s in times]
    assert effect_counts == [1, 0, 1, 0, 1]


def test_termination_before_readiness_leads_to_an_exit():
    """Guards against a router that becomes ready after SIGTERM."""
    state = drain_state.DrainState()
    state.handle(drain_events.TerminationRequested(), 0.0)
    assert state.handle(drain_events.BecameReady(), 1.0) == []
    nothing_left = drain_events.RemainingWork(0, 0, 0, 0, False)
    assert state.handle(nothing_left, 2.0) == [drain_effects.ExitProcess(0)]
