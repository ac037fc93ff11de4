"""Fixtures of the order tests."""

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
from jasminetally._standin import engine_model
from jasminetally._standin import engine_server

ENGINE = "engine-1"
KEY = lease_codec.LEASE_KEY_PREFIX + ENGINE
Outcome = lease_events.WriteOutcome
Ended = engine_events.OrderOutcome


class FakeSite:
    """Routers that send orders to one engine, in virtual time.

    A paused router takes no event and executes no effect; calls that it has
    made go on without it. Delays and lost replies are drawn at random.
    """

    def __init__(
        self, *, checks, seed, make=engine_reconciler.EngineReconciler
    ):
        self.rng = random.Random(seed)
        self.now_s = 0.0
        self.checks = checks
        self.policy = order_policy.OrderPolicy(loads_per_s=10.0)
        self.platform = memory.MemoryPlatform()
        self.state = engine_state.EngineState()
        self.seen_fencing = 0
        self.sent = []  # fencing numbers
        self.applied = []  # (fencing number, a later one was sent before)
        self.open = {}  # router -> orders in flight
        self.most_open = 0
        self.faults = 0.0  # part of calls that are lost or fail
        self.pause_at_send = set()  # routers paused after a decision to send
        self.slow = False  # orders may take as long as they can
        self.outbox, self.queue, self.order = {}, [], 0
        self.paused, self.keepers = {}, {}
        for name in "abc":
            self.paused[name] = []
            self.open[name] = 0
            self.keepers[name] = make(
                engine=ENGINE,
                incarnation=f"{name}#1",
                policy=self.policy,
                bucket=token_bucket.TokenBucket(rate_per_s=10, burst=10),
            )
            self.keepers[name].handle(
                engine_events.EngineReported(ENGINE, self.state), 0.0
            )
            self._at(0.1, name, self._tick)
        self.is_paused = dict.fromkeys("abc", False)

    def want(self, name, model):
        """Make a router responsible, or with None not responsible."""
        wanted = order.Order(ENGINE, model, "1") if model else None
        self.keepers[name].set_desired_state(wanted, checks_fencing=self.checks)

    def pause(self, name, paused):
        """Stop or continue a router."""
        self.is_paused[name] = paused
        if not paused:
            waiting, self.paused[name] = self.paused[name], []
            for action, args in waiting:
                self._at(0.0, name, action, *args)

    def run(self, duration_s):
        """Advance the virtual time."""
        end_s = self.now_s + duration_s
        while self.queue and self.queue[0][0] <= end_s:
            self.now_s, _, name, action, args = heapq.heappop(self.queue)
            if name is not None and self.is_paused[name]:
                self.paused[name].append((action, args))
            else:
                action(*((name,) if name else ()), *args)
        self.now_s = end_s

    def _at(self, delay_s, name, action, *args):
        self.order += 1
        entry = (self.now_s + delay_s, self.order, name, action, args)
        heapq.heappush(self.queue, entry)

    def _tick(self, name):
        self._do(name, self.keepers[name].tick(self.now_s))
        report = engine_events.EngineReported(ENGINE, self.state)
        self._at(0.5, name, self._tick)
        self._at(0.2, name, self._feed, report)

    def _feed(self, name, event):
        if isinstance(event, engine_events.OrderEnded):
            self.open[name] -= 1
        self._do(name, self.keepers[name].handle(event, self.now_s))

    def _do(self, name, effects):
        for effect in effects:
            if isinstance(effect, engine_effects.SendOrder):
                self.open[name] += 1
                self.most_open = max(self.most_open, self.open[name])
                if name in self.pause_at_send:
                    self.pause_at_send.remove(name)
                    self.pause(name, True)
            self._at(self.rng.uniform(0, 0.01), name, self._call, effect)

    def _call(self, name, effect):
        delay_s = self.rng.uniform(0.001, 0.05)
        if isinstance(effect, engine_effects.SendOrder):
            self._send(name, effect, delay_s)
            return
        self._at(delay_s, None, self._reach, name, effect)

    def _send(self, name, effect, delay_s):
        if not effect.may_send(self.now_s):
            ended = engine_events.OrderEnded(ENGINE, Ended.NOT_APPLIED)
            self._feed(name, ended)
            return
        # The number of the lease, which a naive keeper may leave out.
        number = self.keepers[name]._lease.fencing_number
        self.sent.append(number)
        if self.slow:
            delay_s = self.rng.uniform(0.0, self.policy.max_in_flight_s)
        self._at(delay_s, None, self._arrive, name, effect, number)

    def _arrive(self, name, effect, number):
        outcome = Ended.ACCEPTED
        if self.checks and effect.fencing_number < self.seen_fencing:
            outcome = Ended.REFUSED_FENCING
        else:
            self.seen_fencing = max(self.seen_fencing, effect.fencing_number)
            self.applied.append((number, max(self.sent) > number))
            # Replaces what is loaded, so that a late order shows.
            field = {"load_model": "models", "load_version": "versions"}
            changed = {
                field[effect.order.kind]: frozenset([effect.order.value])
            }
            self.state = self.state._replace(**changed)
        if self.rng.random() < self.faults:
            outcome = Ended.UNKNOWN
        ended = engine_events.OrderEnded(ENGINE, outcome)
        self._at(0.01, name, self._feed, ended)

    def _reach(self, name, effect):
        fault = self.rng.random()
        match effect:
            case engine_effects.ReadEngine():
                state = None if fault < self.faults else self.state
                event = engine_events.EngineReported(ENGINE, state, True)
            case lease_effects.ReadLease():
                event = self._read(failed=fault < self.faults)
            case lease_effects.WriteLease():
                event = self._write(effect, fault)
        self._at(self.rng.uniform(0.001, 0.05), name, self._feed, event)

    def _read(self, *, failed):
        if failed:
            return lease_events.LeaseRead(ENGINE, None, 0, failed=True)
        try:
            found = self.platform.get(KEY)
        except _errors.NotFoundError:
            return lease_events.LeaseRead(ENGINE, None, 0)
        lease = lease_codec.decode(found.value)
        return lease_events.LeaseRead(ENGINE, lease, found.version)

    def _write(self, effect, fault):
        if fault < self.faults / 3:
            return lease_events.LeaseWritten(ENGINE, Outcome.NOT_APPLIED)
        if fault < self.faults * 2 / 3:
            # Takes effect only after the caller has given up on the reply.
            late_s = self.rng.uniform(0.0, 15.0)
            self._at(late_s, None, self._write, effect, 1.0)
            return lease_events.LeaseWritten(ENGINE, Outcome.UNKNOWN)
        value = lease_codec.encode(effect.lease)
        expected = effect.expected_version
        try:
            version = (
                self.platform.update(KEY, value, expected_version=expected)
                if expected
                else self.platform.create(KEY, value)
            )
        except _errors.VersionConflictError:
            return lease_events.LeaseWritten(ENGINE, Outcome.CONFLICT)
        if fault < self.faults:
            return lease_events.LeaseWritten(ENGINE, Outcome.UNKNOWN)
        return lease_events.LeaseWritten(ENGINE, Outcome.WRITTEN, version)


@pytest.fixture(scope="session")
def site_class():
    return FakeSite


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


@pytest.fixture(scope="session")
def example():
    docs = pathlib.Path(__file__).parents[2] / "docs"
    return manifest_file.load_manifest(str(docs / "examples" / "manifest.yaml"))
