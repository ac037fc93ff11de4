"""State machine of routers that order one engine, with pauses."""

from __future__ import annotations

import math
import os

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st
import pytest

from jasminetally._orders import engine_reconciler

# Steps of one example; JASMINETALLY_TEST_STEPS sets more for long runs.
STEPS = int(os.environ.get("JASMINETALLY_TEST_STEPS", "30"))
ROUTERS = st.sampled_from("abc")


class NoWaitKeeper(engine_reconciler.EngineReconciler):
    """Naive keeper that sends as soon as it has the lease."""

    def _earliest_send_s(self):
        return -math.inf


class NoFencingKeeper(engine_reconciler.EngineReconciler):
    """Naive keeper whose orders all carry the same fencing number."""

    def _send_order(self, item, now_s):
        return [
            type(effect)(
                effect.engine, effect.order, 1, math.inf, effect.timeout_s
            )
            for effect in super()._send_order(item, now_s)
        ]


class OrderMachine(stateful.RuleBasedStateMachine):
    """Three routers that may all believe to be responsible."""

    make = engine_reconciler.EngineReconciler
    site_class = None
    checks = False

    def __init__(self):
        super().__init__()
        self.site = self.site_class(checks=self.checks, seed=1, make=self.make)
        self.model = 0

    @stateful.rule(
        names=st.permutations("abc"),
        paused=st.sampled_from(["no", "later", "before the send"]),
        slow=st.booleans(),
        durations_s=st.tuples(
            st.sampled_from([0.3, 0.6, 2.0]), st.sampled_from([2.0, 12.0, 45.0])
        ),
    )
    def hand_over(self, names, paused, slow, durations_s):
        """Order by one router, pause it or not, and order by the next."""
        self.site.slow = slow
        if paused == "before the send":
            self.site.pause_at_send.add(names[0])
        self._order_by(names[0], durations_s[0])
        if paused == "later":
            self.site.pause(names[0], True)
        self._order_by(names[1], durations_s[1])

    def _order_by(self, name, duration_s):
        self.model += 1
        for other in "abc":
            # A paused router hears of nothing and keeps its order.
            if not self.site.is_paused[other]:
                wanted = f"m{self.model}" if other == name else None
                self.site.want(other, wanted)
        self.site.run(duration_s)

    @stateful.rule(name=ROUTERS)
    def share(self, name):
        """Make a further router responsible, as views may differ."""
        self.site.want(name, f"m{self.model}")

    @stateful.rule(name=ROUTERS, duration_s=st.sampled_from([0.3, 12.0, 45.0]))
    def resume(self, name, duration_s):
        """Let time pass and continue a router."""
        self.site.run(duration_s)
        self.site.pause(name, False)
        self.site.run(0.1)

    @stateful.rule(faults=st.sampled_from([0.0, 0.4]))
    def disturb(self, faults):
        """Change how many calls fail or lose their reply."""
        self.site.faults = faults

    @stateful.invariant()
    def order_of_an_earlier_holder_never_follows_a_later_one(self):
        """Check the order in which the engine carried out orders."""
        numbers = [fencing for fencing, _ in self.site.applied]
        assert numbers == sorted(numbers)
        if not self.checks:
            assert not any(later for _, later in self.site.applied)

    @stateful.invariant()
    def one_order_is_open_at_a_router(self):
        """Check that no order is sent while another is open."""
        assert self.site.most_open <= 1

    def teardown(self):
        """Heal everything; the engine reaches the last order."""
        self.site.slow, self.site.faults = False, 0.0
        self.site.pause_at_send = set()
        for name in "abc":
            self.site.pause(name, False)
            self.site.want(name, "last" if name == "a" else None)
        self.site.run(200.0)
        assert self.site.state.versions == {"last@1"}
        assert all(keeper.is_idle for keeper in self.site.keepers.values())


def run_machine(make, site_class, *, checks):
    attributes = {"make": make, "site_class": site_class, "checks": checks}
    machine = type("Machine", (OrderMachine,), attributes)
    settings = hypothesis.settings(
        derandomize=True,
        database=None,
        deadline=None,
        max_examples=100,
        phases=[hypothesis.Phase.generate],
        stateful_step_count=STEPS,
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    stateful.run_state_machine_as_test(machine, settings=settings)


@pytest.mark.parametrize("checks", [True, False])
def test_paused_holder_never_overrides_a_later_one(checks, site_class):
    """Guards against an old order that is carried out after a new one."""
    run_machine(engine_reconciler.EngineReconciler, site_class, checks=checks)


@pytest.mark.parametrize(
    ("make", "checks"),
    [(NoWaitKeeper, False), (NoFencingKeeper, True), (NoFencingKeeper, False)],
)
def test_machine_fails_for_a_naive_holder(make, checks, site_class):
    """Shows that the machine finds a late order of a paused holder."""
    with pytest.raises(AssertionError):
        run_machine(make, site_class, checks=checks)
