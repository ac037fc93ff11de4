"""Tests of the reconciliation of one engine."""

from __future__ import annotations

import pytest

from jasminetally._config import order
from jasminetally._orders import engine_effects
from jasminetally._orders import engine_events
from jasminetally._orders import engine_order
from jasminetally._orders import engine_reconciler
from jasminetally._orders import engine_state
from jasminetally._orders import lease
from jasminetally._orders import lease_effects
from jasminetally._orders import lease_events
from jasminetally._orders import order_policy
from jasminetally._shared import token_bucket

ENGINE = "engine-1"
DESIRED_STATE = order.Order(ENGINE, "notes", "2")
OLD_STATE = engine_state.EngineState(
    models=frozenset(["notes"]), versions=frozenset(["notes@1"])
)
REACHED_STATE = OLD_STATE._replace(versions=frozenset(["notes@1", "notes@2"]))
LOAD_VERSION = engine_order.EngineOrder("load_version", "notes@2")
OrderOutcome = engine_events.OrderOutcome
WriteOutcome = lease_events.WriteOutcome
POLICY = order_policy.OrderPolicy()


def make_reconciler(*, bucket=None, checks_fencing=True):
    reconciler = engine_reconciler.EngineReconciler(
        engine=ENGINE,
        incarnation="a#1",
        policy=POLICY,
        bucket=bucket or token_bucket.TokenBucket(rate_per_s=1, burst=5),
    )
    reconciler.set_desired_state(DESIRED_STATE, checks_fencing=checks_fencing)
    return reconciler


def report_state(reconciler, state, now_s):
    event = engine_events.EngineReported(ENGINE, state, fresh=True)
    return reconciler.handle(event, now_s)


def acquire_lease(reconciler, now_s=0.0):
    """Acquire a free lease at version 7; return the effects that follow."""
    reconciler.handle(engine_events.EngineReported(ENGINE, OLD_STATE), now_s)
    reconciler.handle(lease_events.LeaseRead(ENGINE, None, 0), now_s)
    written = lease_events.LeaseWritten(ENGINE, WriteOutcome.WRITTEN, 7)
    return reconciler.handle(written, now_s)


def send_effects(effects):
    return [
        effect
        for effect in effects
        if isinstance(effect, engine_effects.SendOrder)
    ]


def end_order(reconciler, outcome, now_s, retry_after_s=0.0):
    event = engine_events.OrderEnded(ENGINE, outcome, retry_after_s)
    return reconciler.handle(event, now_s)


def test_state_is_read_before_and_after_an_order():
    """Guards against orders based on outdated reports, and lost orders."""
    reconciler = make_reconciler()
    assert acquire_lease(reconciler) == [engine_effects.ReadEngine(ENGINE)]
    (sent,) = send_effects(report_state(reconciler, OLD_STATE, 0.1))
    assert (sent.order, sent.fencing_number) == (LOAD_VERSION, 7)
    assert end_order(reconciler, OrderOutcome.ACCEPTED, 0.2) == [
        engine_effects.ReadEngine(ENGINE)
    ]
    released = lease_effects.WriteLease(ENGINE, lease.Lease(""), 7)
    assert report_state(reconciler, REACHED_STATE, 0.3) == [released]
    reconciler.handle(
        lease_events.LeaseWritten(ENGINE, WriteOutcome.WRITTEN, 8), 0.4
    )
    assert reconciler.is_idle


def test_engine_in_its_desired_state_causes_no_lease_write():
    """Guards against lease writes in proportion to the number of engines."""
    reconciler = make_reconciler()
    reported = engine_events.EngineReported(ENGINE, REACHED_STATE)
    assert reconciler.handle(reported, 0.0) == []
    assert reconciler.tick(100.0) == []


@pytest.mark.parametrize(
    "outcome", [None, OrderOutcome.UNKNOWN, OrderOutcome.ACCEPTED]
)
def test_no_second_order_while_one_is_in_flight(outcome):
    """Guards against orders that are applied in the wrong sequence."""
    reconciler = make_reconciler()
    acquire_lease(reconciler)
    report_state(reconciler, OLD_STATE, 0.1)
    if outcome is not None:
        end_order(reconciler, outcome, 0.2)
    for now_s in range(1, 9):
        assert (
            send_effects(report_state(reconciler, OLD_STATE, float(now_s)))
            == []
        )


def test_order_with_unknown_outcome_is_sent_again_after_max_in_flight():
    """Guards against an engine that never reaches its desired state."""
    reconciler = make_reconciler()
    acquire_lease(reconciler)
    report_state(reconciler, OLD_STATE, 0.1)
    end_order(reconciler, OrderOutcome.UNKNOWN, 30.1)
    reconciler.handle(
        lease_events.LeaseRead(ENGINE, lease.Lease("a#1"), 7), 30.2
    )
    written = lease_events.LeaseWritten(ENGINE, WriteOutcome.WRITTEN, 10)
    reconciler.handle(written, 30.2)
    # The order was sent at 9.0 s at the latest and may take 30 s.
    assert send_effects(report_state(reconciler, OLD_STATE, 38.9)) == []
    assert len(send_effects(report_state(reconciler, OLD_STATE, 39.0))) == 1


@pytest.mark.parametrize(
    "outcome", [OrderOutcome.REFUSED_FENCING, OrderOutcome.NOT_APPLIED]
)
def test_refused_order_is_repeated_only_under_the_lease(outcome):
    """Guards against a previous holder that repeats an outdated order."""
    reconciler = make_reconciler()
    acquire_lease(reconciler)
    report_state(reconciler, OLD_STATE, 0.1)
    end_order(reconciler, outcome, 0.2)
    reconciler.handle(
        lease_events.LeaseWritten(ENGINE, WriteOutcome.CONFLICT), 3.5
    )
    reconciler.tick(4.0)
    other = lease_events.LeaseRead(ENGINE, lease.Lease("b#2"), 12)
    reconciler.handle(other, 4.1)
    assert send_effects(report_state(reconciler, OLD_STATE, 4.2)) == []


def test_paused_holder_sends_no_order_after_its_lease_ends():
    """Guards against a late order of a holder that was paused."""
    reconciler = make_reconciler()
    acquire_lease(reconciler)
    assert send_effects(report_state(reconciler, OLD_STATE, 9.5)) == []
    other = make_reconciler()
    acquire_lease(other)
    (sent,) = send_effects(report_state(other, OLD_STATE, 8.0))
    assert sent.may_send(9.0)
    assert not sent.may_send(9.1)


@pytest.mark.parametrize(
    ("checks_fencing", "first_read_s"), [(True, 10.0), (False, 40.0)]
)
def test_takeover_waits_for_orders_in_flight_without_fencing_check(
    checks_fencing, first_read_s
):
    """Guards against an old order that is applied after a newer one."""
    reconciler = make_reconciler(checks_fencing=checks_fencing)
    reconciler.handle(engine_events.EngineReported(ENGINE, OLD_STATE), 0.0)
    held = lease_events.LeaseRead(ENGINE, lease.Lease("b#2"), 5)
    assert reconciler.handle(held, 0.0) == []
    (takeover,) = reconciler.handle(held, 10.0)
    assert takeover == lease_effects.WriteLease(ENGINE, lease.Lease("a#1"), 5)
    effects = reconciler.handle(
        lease_events.LeaseWritten(ENGINE, WriteOutcome.WRITTEN, 6), 10.0
    )
    version, now_s = 6, 10.0
    while not any(
        isinstance(effect, engine_effects.ReadEngine) for effect in effects
    ):
        now_s += 1.0
        assert now_s < 60.0
        effects = reconciler.tick(now_s)
        if any(isinstance(e, lease_effects.WriteLease) for e in effects):
            version += 1
            written = lease_events.LeaseWritten(
                ENGINE, WriteOutcome.WRITTEN, version
            )
            effects += reconciler.handle(written, now_s)
    assert now_s == first_read_s


def test_lease_is_not_released_during_the_wait_after_a_takeover():
    """Guards against a third router that sends an order without waiting.

    If the second router released the lease when the engine was assigned to
    another router, a third one would acquire it as free, and an order of the
    first could be applied after that of the third.
    """
    reconciler = make_reconciler(checks_fencing=False)
    reconciler.handle(engine_events.EngineReported(ENGINE, OLD_STATE), 0.0)
    held = lease_events.LeaseRead(ENGINE, lease.Lease("b#2"), 5)
    reconciler.handle(held, 0.0)
    reconciler.handle(held, 10.0)
    reconciler.handle(
        lease_events.LeaseWritten(ENGINE, WriteOutcome.WRITTEN, 6), 10.0
    )
    reconciler.set_desired_state(None, checks_fencing=False)
    assert reconciler.tick(11.0) == []
    assert not reconciler.is_idle


def test_lease_counts_from_the_start_of_an_unknown_renewal():
    """Guards against a holder that uses a lease after its end."""
    reconciler = make_reconciler()
    acquire_lease(reconciler)
    (renewal,) = reconciler.tick(3.0)
    assert renewal.expected_version == 7
    unknown = lease_events.LeaseWritten(ENGINE, WriteOutcome.UNKNOWN)
    assert reconciler.handle(unknown, 8.0) == [lease_effects.ReadLease(ENGINE)]
    own = lease_events.LeaseRead(ENGINE, lease.Lease("a#1"), 8)
    reconciler.handle(own, 8.5)
    (sent,) = send_effects(report_state(reconciler, OLD_STATE, 8.6))
    assert (sent.fencing_number, sent.not_after_s) == (8, 12.0)


def test_lease_counts_from_the_first_of_two_unknown_renewals():
    """Guards against a lease counted from a write that had no effect.

    The first renewal takes effect after its timeout, so the second one
    conflicts with it.
    """
    reconciler = make_reconciler()
    acquire_lease(reconciler)
    reconciler.tick(3.0)
    unknown = lease_events.LeaseWritten(ENGINE, WriteOutcome.UNKNOWN)
    reconciler.handle(unknown, 4.0)
    before = lease_events.LeaseRead(ENGINE, lease.Lease("a#1"), 7)
    (again,) = reconciler.handle(before, 4.5)
    assert again.expected_version == 7
    reconciler.handle(unknown, 5.5)
    after = lease_events.LeaseRead(ENGINE, lease.Lease("a#1"), 8)
    reconciler.handle(after, 6.0)
    (sent,) = send_effects(report_state(reconciler, OLD_STATE, 6.1))
    assert (sent.fencing_number, sent.not_after_s) == (8, 12.0)


def test_load_waits_as_long_as_the_weight_store_asks():
    """Guards against loads that ignore the weight store's rate limit."""
    reconciler = make_reconciler()
    acquire_lease(reconciler)
    report_state(reconciler, OLD_STATE, 0.1)
    end_order(reconciler, OrderOutcome.RATE_LIMITED, 0.2, retry_after_s=5.0)
    assert send_effects(report_state(reconciler, OLD_STATE, 5.0)) == []
    assert len(send_effects(report_state(reconciler, OLD_STATE, 5.2))) == 1


def test_rate_limit_delays_loads_but_not_role_changes():
    """Guards against a role change that waits for the weight store."""
    bucket = token_bucket.TokenBucket(rate_per_s=0.2, burst=1)
    assert bucket.take(0.0) == 0.0
    reconciler = make_reconciler(bucket=bucket)
    acquire_lease(reconciler)
    assert send_effects(report_state(reconciler, OLD_STATE, 0.0)) == []
    assert len(send_effects(report_state(reconciler, OLD_STATE, 5.0))) == 1
    other = make_reconciler(bucket=bucket)
    acquire_lease(other)
    role = REACHED_STATE._replace(role="decode")
    assert len(send_effects(report_state(other, role, 5.0))) == 1


def test_orders_to_the_desired_state_have_a_fixed_sequence():
    """Guards against adapters loaded before their model."""
    desired = DESIRED_STATE._replace(adapters={"tone": "3"}, role="decode")
    model, version, adapter, role = engine_state.EngineState().remaining_orders(
        desired
    )
    assert [each.kind for each in (model, version, adapter, role)] == [
        "load_model",
        "load_version",
        "load_adapter",
        "set_role",
    ]
    assert OLD_STATE.remaining_orders(desired) == [version, adapter, role]
    full = REACHED_STATE._replace(
        adapters=frozenset([adapter.value]), role="decode"
    )
    assert full.remaining_orders(desired) == []
