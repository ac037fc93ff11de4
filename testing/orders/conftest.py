"""Simulated routers and fixtures for the tests of orders."""

from __future__ import annotations

import heapq
import pathlib
import random

import pytest

from jasminetally import _errors
from jasminetally._config import manifest_file
from jasminetally._config import order
from jasminetally._orders import engine_effects
from jasminetally._orders import engine_events
from jasminetally._orders import engine_reconciler
from jasminetally._orders import engine_state
from jasminetally._orders import lease_codec
from jasminetally._orders import lease_effects
from jasminetally._orders import lease_events
from jasminetally._orders import order_policy
from jasminetally._platform import memory
from jasminetally._shared import token_bucket
from jasminetally._standin import engine_behaviour
from jasminetally._standin import engine_server

ENGINE = "engine-1"
LEASE_KEY = lease_codec.LEASE_KEY_PREFIX + ENGINE
WriteOutcome = lease_events.WriteOutcome
OrderOutcome = engine_events.OrderOutcome


class RouterSimulation:
    """Three routers that send orders to one engine, in virtual time.

    A paused router processes no event and starts no call; the calls that it
    has started continue. Delays, failures and lost replies are random.
    """

    def __init__(
        self,
        *,
        checks_fencing,
        seed,
        reconciler_class=engine_reconciler.EngineReconciler,
    ):
        self.rng = random.Random(seed)
        self.now_s = 0.0
        self.checks_fencing = checks_fencing
        self.policy = order_policy.OrderPolicy(loads_per_s=10.0)
        self.platform = memory.MemoryPlatform()
        self.state = engine_state.EngineState()
        self.highest_fencing_number = 0
        # Fencing numbers of the orders that were sent.
        self.sent_numbers = []
        # For each applied order, its fencing number and whether an order with a
        # higher number had been sent before.
        self.applied_orders = []
        self.in_flight = {}  # Number of orders in flight by router.
        self.highest_in_flight = 0
        self.fault_rate = 0.0  # Fraction of calls that fail or lose the reply.
        # Routers to pause between the decision to send an order and the call.
        self.pause_before_send = set()
        self.slow_orders = False  # Orders may take up to max_in_flight_s.
        self.outbox, self.scheduled, self.entry_count = {}, [], 0
        self.held_back_actions, self.reconcilers = {}, {}
        for name in "abc":
            self.held_back_actions[name] = []
            self.in_flight[name] = 0
            self.reconcilers[name] = reconciler_class(
                engine=ENGINE,
                incarnation=f"{name}#1",
                policy=self.policy,
                bucket=token_bucket.TokenBucket(rate_per_s=10, burst=10),
            )
            self.reconcilers[name].handle(
                engine_events.EngineReported(ENGINE, self.state), 0.0
            )
            self._schedule(0.1, name, self._tick)
        self.is_paused = dict.fromkeys("abc", False)

    def set_desired_model(self, name, model):
        """Assign the engine to a router; None removes the assignment."""
        desired = order.Order(ENGINE, model, "1") if model else None
        self.reconcilers[name].set_desired_state(
            desired, checks_fencing=self.checks_fencing
        )

    def set_paused(self, name, paused):
        """Pause or resume a router."""
        self.is_paused[name] = paused
        if not paused:
            actions, self.held_back_actions[name] = (
                self.held_back_actions[name],
                [],
            )
            for action, args in actions:
                self._schedule(0.0, name, action, *args)

    def advance(self, duration_s):
        """Advance the virtual time."""
        end_s = self.now_s + duration_s
        while self.scheduled and self.scheduled[0][0] <= end_s:
            self.now_s, _, name, action, args = heapq.heappop(self.scheduled)
            if name is not None and self.is_paused[name]:
                self.held_back_actions[name].append((action, args))
            else:
                action(*((name,) if name else ()), *args)
        self.now_s = end_s

    def _schedule(self, delay_s, name, action, *args):
        self.entry_count += 1
        entry = (self.now_s + delay_s, self.entry_count, name, action, args)
        heapq.heappush(self.scheduled, entry)

    def _tick(self, name):
        self._perform_effects(name, self.reconcilers[name].tick(self.now_s))
        report = engine_events.EngineReported(ENGINE, self.state)
        self._schedule(0.5, name, self._tick)
        self._schedule(0.2, name, self._deliver, report)

    def _deliver(self, name, event):
        if isinstance(event, engine_events.OrderEnded):
            self.in_flight[name] -= 1
        self._perform_effects(
            name, self.reconcilers[name].handle(event, self.now_s)
        )

    def _perform_effects(self, name, effects):
        for effect in effects:
            if isinstance(effect, engine_effects.SendOrder):
                self.in_flight[name] += 1
                self.highest_in_flight = max(
                    self.highest_in_flight, self.in_flight[name]
                )
                if name in self.pause_before_send:
                    self.pause_before_send.remove(name)
                    self.set_paused(name, True)
            self._schedule(
                self.rng.uniform(0, 0.01), name, self._start_call, effect
            )

    def _start_call(self, name, effect):
        delay_s = self.rng.uniform(0.001, 0.05)
        if isinstance(effect, engine_effects.SendOrder):
            self._start_order(name, effect, delay_s)
            return
        self._schedule(delay_s, None, self._finish_call, name, effect)

    def _start_order(self, name, effect, delay_s):
        if not effect.may_send(self.now_s):
            ended = engine_events.OrderEnded(ENGINE, OrderOutcome.NOT_APPLIED)
            self._deliver(name, ended)
            return
        # The number of the lease, because the order of a naive reconciler may
        # carry another one.
        number = self.reconcilers[name]._lease.fencing_number
        self.sent_numbers.append(number)
        if self.slow_orders:
            delay_s = self.rng.uniform(0.0, self.policy.max_in_flight_s)
        self._schedule(delay_s, None, self._apply_order, name, effect, number)

    def _apply_order(self, name, effect, number):
        outcome = OrderOutcome.ACCEPTED
        if (
            self.checks_fencing
            and effect.fencing_number < self.highest_fencing_number
        ):
            outcome = OrderOutcome.REFUSED_FENCING
        else:
            self.highest_fencing_number = max(
                self.highest_fencing_number, effect.fencing_number
            )
            self.applied_orders.append(
                (number, max(self.sent_numbers) > number)
            )
            # The value replaces the loaded ones, so that an order that is
            # applied late changes the state.
            field = {"load_model": "models", "load_version": "versions"}
            changed = {
                field[effect.order.kind]: frozenset([effect.order.value])
            }
            self.state = self.state._replace(**changed)
        if self.rng.random() < self.fault_rate:
            outcome = OrderOutcome.UNKNOWN
        ended = engine_events.OrderEnded(ENGINE, outcome)
        self._schedule(0.01, name, self._deliver, ended)

    def _finish_call(self, name, effect):
        draw = self.rng.random()
        match effect:
            case engine_effects.ReadEngine():
                state = None if draw < self.fault_rate else self.state
                event = engine_events.EngineReported(ENGINE, state, True)
            case lease_effects.ReadLease():
                event = self._read_lease(failed=draw < self.fault_rate)
            case lease_effects.WriteLease():
                event = self._write_lease(effect, draw)
        self._schedule(
            self.rng.uniform(0.001, 0.05), name, self._deliver, event
        )

    def _read_lease(self, *, failed):
        if failed:
            return lease_events.LeaseRead(ENGINE, None, 0, failed=True)
        try:
            entry = self.platform.get(LEASE_KEY)
        except _errors.NotFoundError:
            return lease_events.LeaseRead(ENGINE, None, 0)
        lease = lease_codec.decode(entry.value)
        return lease_events.LeaseRead(ENGINE, lease, entry.version)

    def _write_lease(self, effect, draw):
        if draw < self.fault_rate / 3:
            return lease_events.LeaseWritten(ENGINE, WriteOutcome.NOT_APPLIED)
        if draw < self.fault_rate * 2 / 3:
            # The write takes effect after the caller's timeout.
            late_s = self.rng.uniform(0.0, 15.0)
            self._schedule(late_s, None, self._write_lease, effect, 1.0)
            return lease_events.LeaseWritten(ENGINE, WriteOutcome.UNKNOWN)
        value = lease_codec.encode(effect.lease)
        expected = effect.expected_version
        try:
            version = (
                self.platform.update(
                    LEASE_KEY, value, expected_version=expected
                )
                if expected
                else self.platform.create(LEASE_KEY, value)
            )
        except _errors.VersionConflictError:
            return lease_events.LeaseWritten(ENGINE, WriteOutcome.CONFLICT)
        if draw < self.fault_rate:
            return lease_events.LeaseWritten(ENGINE, WriteOutcome.UNKNOWN)
        return lease_events.LeaseWritten(ENGINE, WriteOutcome.WRITTEN, version)


@pytest.fixture(scope="session")
def simulation_class():
    return RouterSimulation


@pytest.fixture
def engine():
    server = engine_server.EngineServer(
        name=ENGINE,
        models=["other"],
        behaviour=engine_behaviour.EngineBehaviour(load_model_s=0.01),
    )
    server.start()
    yield server
    server.stop()


@pytest.fixture(scope="session")
def example_manifest():
    docs = pathlib.Path(__file__).parents[2] / "docs"
    return manifest_file.load_manifest(str(docs / "examples" / "manifest.yaml"))
