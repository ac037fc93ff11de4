"""Tests of the drain."""

from __future__ import annotations

import pytest

from jasminetally._membership import drain_effects
from jasminetally._membership import drain_events
from jasminetally._membership import drain_state
from jasminetally._membership import router_state

Step = drain_effects.DrainStep
FULL = drain_events.RemainingWork(2, 3, 1, 1, True)


@pytest.fixture
def draining():
    state = drain_state.DrainState()
    state.handle(drain_events.BecameReady(), 0.0)
    effects = state.handle(drain_events.TerminationRequested(), 1.0)
    assert effects == [drain_effects.PublishState(ready=False)]
    return state


def test_request_in_flight_is_never_cut(draining):
    """Guards against a drain that ends by a time limit."""
    for now_s in (2.0, 120.0, 86_400.0):
        assert draining.handle(FULL, now_s) == []
    assert draining.state is router_state.RouterState.DRAINING


def test_everything_is_given_back_in_order_before_the_exit(draining):
    """Guards against grants that stay locked after a clean shutdown."""
    order = []
    left = {"settlements": 2, "grants": 1, "leases": 1, "status_exists": True}
    gives_back = {
        Step.WRITE_SETTLEMENTS: "settlements",
        Step.RETURN_GRANTS: "grants",
        Step.RELEASE_LEASES: "leases",
        Step.DELETE_STATUS: "status_exists",
    }
    for now_s in range(2, 20):
        remaining = drain_events.RemainingWork(0, **left)
        for effect in draining.handle(remaining, float(now_s)):
            order.append(effect)
            if isinstance(effect, drain_effects.PerformStep):
                left[gives_back[effect.step]] = 0
    assert order == [
        *(drain_effects.PerformStep(step) for step in gives_back),
        drain_effects.ExitProcess(0),
    ]


def test_step_is_repeated_while_the_platform_is_down(draining):
    """Guards against an exit with settlements that were never written."""
    remaining = drain_events.RemainingWork(0, 1, 0, 0, True)
    times = [2.0, 2.5, 3.0, 3.9, 4.0]
    sent = [len(draining.handle(remaining, now_s)) for now_s in times]
    assert sent == [1, 0, 1, 0, 1]


def test_termination_before_ready_leads_to_an_exit():
    """Guards against a router that becomes ready after SIGTERM."""
    state = drain_state.DrainState()
    state.handle(drain_events.TerminationRequested(), 0.0)
    assert state.handle(drain_events.BecameReady(), 1.0) == []
    gone = drain_events.RemainingWork(0, 0, 0, 0, False)
    assert state.handle(gone, 2.0) == [drain_effects.ExitProcess(0)]
