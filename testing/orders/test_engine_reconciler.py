"""Tests of the orders to one engine."""

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
ORDER = order.Order(ENGINE, "notes", "2")
OLD = engine_state.EngineState(
    models=frozenset(["notes"]), versions=frozenset(["notes@1"])
)
DONE = OLD._replace(versions=frozenset(["notes@1", "notes@2"]))
ITEM = engine_order.EngineOrder("load_version", "notes@2")
Outcome = engine_events.OrderOutcome
Write = lease_events.WriteOutcome
POLICY = order_policy.OrderPolicy()


def keeper(*, bucket=None, checks=True):
    one = engine_reconciler.EngineReconciler(
        engine=ENGINE,
        incarnation="a#1",
        policy=POLICY,
        bucket=bucket or token_bucket.TokenBucket(rate_per_s=1, burst=5),
    )
    one.set_desired_state(ORDER, checks_fencing=checks)
    return one


def report(one, state, now_s):
    event = engine_events.EngineReported(ENGINE, state, fresh=True)
    return one.handle(event, now_s)


def acquire(one, now_s=0.0):
    """Take a free lease at version 7; return the effects that follow."""
    one.handle(engine_events.EngineReported(ENGINE, OLD), now_s)
    one.handle(lease_events.LeaseRead(ENGINE, None, 0), now_s)
    written = lease_events.LeaseWritten(ENGINE, Write.WRITTEN, 7)
    return one.handle(written, now_s)


def sends_in(effects):
    return [
        effect
        for effect in effects
        if isinstance(effect, engine_effects.SendOrder)
    ]


def end(one, outcome, now_s, retry_after_s=0.0):
    event = engine_events.OrderEnded(ENGINE, outcome, retry_after_s)
    return one.handle(event, now_s)


def test_state_is_read_before_and_after_an_order():
    """Guards against orders on a lagging report, and against lost ones."""
    one = keeper()
    assert acquire(one) == [engine_effects.ReadEngine(ENGINE)]
    (sent,) = sends_in(report(one, OLD, 0.1))
    assert (sent.order, sent.fencing_number) == (ITEM, 7)
    assert end(one, Outcome.ACCEPTED, 0.2) == [
        engine_effects.ReadEngine(ENGINE)
    ]
    released = lease_effects.WriteLease(ENGINE, lease.Lease(""), 7)
    assert report(one, DONE, 0.3) == [released]
    one.handle(lease_events.LeaseWritten(ENGINE, Write.WRITTEN, 8), 0.4)
    assert one.is_idle


def test_engine_in_its_desired_state_costs_no_lease():
    """Guards against lease writes that grow with the number of engines."""
    one = keeper()
    reported = engine_events.EngineReported(ENGINE, DONE)
    assert one.handle(reported, 0.0) == []
    assert one.tick(100.0) == []


@pytest.mark.parametrize("outcome", [None, Outcome.UNKNOWN, Outcome.ACCEPTED])
def test_no_second_order_while_one_is_open(outcome):
    """Guards against two orders that overtake each other."""
    one = keeper()
    acquire(one)
    report(one, OLD, 0.1)
    if outcome is not None:
        end(one, outcome, 0.2)
    for second in range(1, 9):
        assert sends_in(report(one, OLD, float(second))) == []


def test_order_without_reply_is_sent_again_after_the_time_in_flight():
    """Guards against an engine that keeps its old state for good."""
    one = keeper()
    acquire(one)
    report(one, OLD, 0.1)
    end(one, Outcome.UNKNOWN, 30.1)
    one.handle(lease_events.LeaseRead(ENGINE, lease.Lease("a#1"), 7), 30.2)
    written = lease_events.LeaseWritten(ENGINE, Write.WRITTEN, 10)
    one.handle(written, 30.2)
    # Sent by 9.0 at the latest, with 30 s in flight.
    assert sends_in(report(one, OLD, 38.9)) == []
    assert len(sends_in(report(one, OLD, 39.0))) == 1


@pytest.mark.parametrize(
    "outcome", [Outcome.REFUSED_FENCING, Outcome.NOT_APPLIED]
)
def test_refused_order_is_tried_again_only_under_the_lease(outcome):
    """Guards against a holder that insists on an old fencing number."""
    one = keeper()
    acquire(one)
    report(one, OLD, 0.1)
    end(one, outcome, 0.2)
    one.handle(lease_events.LeaseWritten(ENGINE, Write.CONFLICT), 3.5)
    one.tick(4.0)
    other = lease_events.LeaseRead(ENGINE, lease.Lease("b#2"), 12)
    one.handle(other, 4.1)
    assert sends_in(report(one, OLD, 4.2)) == []


def test_paused_holder_sends_nothing_after_its_lease():
    """Guards against an order of a holder that was paused."""
    one = keeper()
    acquire(one)
    assert sends_in(report(one, OLD, 9.5)) == []
    other = keeper()
    acquire(other)
    (sent,) = sends_in(report(other, OLD, 8.0))
    assert sent.may_send(9.0)
    assert not sent.may_send(9.1)


@pytest.mark.parametrize(("checks", "first_s"), [(True, 10.0), (False, 40.0)])
def test_takeover_waits_for_orders_in_flight_if_fencing_is_ignored(
    checks, first_s
):
    """Guards against an old order carried out after the new one."""
    one = keeper(checks=checks)
    one.handle(engine_events.EngineReported(ENGINE, OLD), 0.0)
    held = lease_events.LeaseRead(ENGINE, lease.Lease("b#2"), 5)
    assert one.handle(held, 0.0) == []
    (take,) = one.handle(held, 10.0)
    assert take == lease_effects.WriteLease(ENGINE, lease.Lease("a#1"), 5)
    effects = one.handle(
        lease_events.LeaseWritten(ENGINE, Write.WRITTEN, 6), 10.0
    )
    version, now_s = 6, 10.0
    while not any(
        isinstance(effect, engine_effects.ReadEngine) for effect in effects
    ):
        now_s += 1.0
        assert now_s < 60.0
        effects = one.tick(now_s)
        if any(isinstance(e, lease_effects.WriteLease) for e in effects):
            version += 1
            written = lease_events.LeaseWritten(ENGINE, Write.WRITTEN, version)
            effects += one.handle(written, now_s)
    assert now_s == first_s


def test_lease_taken_over_is_not_released_during_the_wait():
    """Guards against a third router that sends without the wait.

    Found by the state machine: the second router lost its responsibility and
    released the lease, the third took it as free, and the order of the first
    arrived after its own.
    """
    one = keeper(checks=False)
    one.handle(engine_events.EngineReported(ENGINE, OLD), 0.0)
    held = lease_events.LeaseRead(ENGINE, lease.Lease("b#2"), 5)
    one.handle(held, 0.0)
    one.handle(held, 10.0)
    one.handle(lease_events.LeaseWritten(ENGINE, Write.WRITTEN, 6), 10.0)
    one.set_desired_state(None, checks_fencing=False)
    assert one.tick(11.0) == []
    assert not one.is_idle


def test_renewal_without_reply_counts_from_its_start():
    """Guards against a holder that believes in a lease that has ended."""
    one = keeper()
    acquire(one)
    (renewal,) = one.tick(3.0)
    assert renewal.expected_version == 7
    unknown = lease_events.LeaseWritten(ENGINE, Write.UNKNOWN)
    assert one.handle(unknown, 8.0) == [lease_effects.ReadLease(ENGINE)]
    own = lease_events.LeaseRead(ENGINE, lease.Lease("a#1"), 8)
    one.handle(own, 8.5)
    (sent,) = sends_in(report(one, OLD, 8.6))
    assert (sent.fencing_number, sent.not_after_s) == (8, 12.0)


def test_lease_counts_from_the_first_of_two_unknown_renewals():
    """Guards against a lease counted from a write that had no effect.

    The first renewal takes effect late, so the second one conflicts with it.
    """
    one = keeper()
    acquire(one)
    one.tick(3.0)
    unknown = lease_events.LeaseWritten(ENGINE, Write.UNKNOWN)
    one.handle(unknown, 4.0)
    before = lease_events.LeaseRead(ENGINE, lease.Lease("a#1"), 7)
    (again,) = one.handle(before, 4.5)
    assert again.expected_version == 7
    one.handle(unknown, 5.5)
    after = lease_events.LeaseRead(ENGINE, lease.Lease("a#1"), 8)
    one.handle(after, 6.0)
    (sent,) = sends_in(report(one, OLD, 6.1))
    assert (sent.fencing_number, sent.not_after_s) == (8, 12.0)


def test_weight_store_sets_the_time_of_the_next_load():
    """Guards against loads that ignore the store's rate limit."""
    one = keeper()
    acquire(one)
    report(one, OLD, 0.1)
    end(one, Outcome.RATE_LIMITED, 0.2, retry_after_s=5.0)
    assert sends_in(report(one, OLD, 5.0)) == []
    assert len(sends_in(report(one, OLD, 5.2))) == 1


def test_empty_bucket_delays_a_load_but_no_change_of_role():
    """Guards against a role change that waits for the weight store."""
    bucket = token_bucket.TokenBucket(rate_per_s=0.2, burst=1)
    assert bucket.take(0.0) == 0.0
    one = keeper(bucket=bucket)
    acquire(one)
    assert sends_in(report(one, OLD, 0.0)) == []
    assert len(sends_in(report(one, OLD, 5.0))) == 1
    other = keeper(bucket=bucket)
    acquire(other)
    role = DONE._replace(role="decode")
    assert len(sends_in(report(other, role, 5.0))) == 1


def test_desired_state_is_reached_by_one_order_after_the_other():
    """Guards against adapters loaded before their model."""
    wanted = ORDER._replace(adapters={"tone": "3"}, role="decode")
    model, version, adapter, role = engine_state.EngineState().remaining_orders(
        wanted
    )
    assert [item.kind for item in (model, version, adapter, role)] == [
        "load_model",
        "load_version",
        "load_adapter",
        "set_role",
    ]
    assert OLD.remaining_orders(wanted) == [version, adapter, role]
    full = DONE._replace(adapters=frozenset([adapter.value]), role="decode")
    assert full.remaining_orders(wanted) == []
