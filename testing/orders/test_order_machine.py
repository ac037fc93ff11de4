"""State machine test: routers that are paused while they send orders."""

from __future__ import annotations

import math
import os

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st
import pytest

from jasminetally._orders import engine_reconciler

# Long runs set a higher number with JASMINETALLY_TEST_STEPS.
STEPS_PER_EXAMPLE = int(os.environ.get("JASMINETALLY_TEST_STEPS", "30"))
ROUTERS = st.sampled_from("abc")


class NoWaitReconciler(engine_reconciler.EngineReconciler):
    """Naive variant: sends an order as soon as it holds the lease."""

    def _earliest_send_s(self):
        return -math.inf


class NoFencingReconciler(engine_reconciler.EngineReconciler):
    """Naive variant: all orders carry the same number and never expire."""

    def _send_order(self, order, now_s):
        return [
            type(effect)(
                effect.engine, effect.order, 1, math.inf, effect.timeout_s
            )
            for effect in super()._send_order(order, now_s)
        ]


class OrderMachine(stateful.RuleBasedStateMachine):
    """Three routers; the engine may be assigned to several at once."""

    reconciler_class = engine_reconciler.EngineReconciler
    simulation_class = None
    checks_fencing = False

    def __init__(self):
        super().__init__()
        self.simulation = self.simulation_class(
            checks_fencing=self.checks_fencing,
            seed=1,
            reconciler_class=self.reconciler_class,
        )
        self.model = 0

    @stateful.rule(
        names=st.permutations("abc"),
        paused=st.sampled_from(["no", "later", "before the send"]),
        slow_orders=st.booleans(),
        durations_s=st.tuples(
            st.sampled_from([0.3, 0.6, 2.0]), st.sampled_from([2.0, 12.0, 45.0])
        ),
    )
    def hand_over_engine(self, names, paused, slow_orders, durations_s):
        """Assign the engine to a router, optionally pause it, then reassign."""
        self.simulation.slow_orders = slow_orders
        if paused == "before the send":
            self.simulation.pause_before_send.add(names[0])
        self._assign_engine(names[0], durations_s[0])
        if paused == "later":
            self.simulation.set_paused(names[0], True)
        self._assign_engine(names[1], durations_s[1])

    def _assign_engine(self, name, duration_s):
        self.model += 1
        for other in "abc":
            # A paused router does not learn of the new assignment.
            if not self.simulation.is_paused[other]:
                desired = f"m{self.model}" if other == name else None
                self.simulation.set_desired_model(other, desired)
        self.simulation.advance(duration_s)

    @stateful.rule(name=ROUTERS)
    def share_engine(self, name):
        """Assign the engine to one more router, as their views may differ."""
        self.simulation.set_desired_model(name, f"m{self.model}")

    @stateful.rule(name=ROUTERS, duration_s=st.sampled_from([0.3, 12.0, 45.0]))
    def resume_router(self, name, duration_s):
        """Advance the time and resume a router."""
        self.simulation.advance(duration_s)
        self.simulation.set_paused(name, False)
        self.simulation.advance(0.1)

    @stateful.rule(fault_rate=st.sampled_from([0.0, 0.4]))
    def change_fault_rate(self, fault_rate):
        """Change the fraction of calls that fail or lose their reply."""
        self.simulation.fault_rate = fault_rate

    @stateful.invariant()
    def orders_are_applied_in_the_order_of_their_leases(self):
        """Check that no order is applied after one of a later holder.

        For engines that ignore fencing numbers, check also that no later
        holder had sent an order before.
        """
        numbers = [number for number, _ in self.simulation.applied_orders]
        assert numbers == sorted(numbers)
        if not self.checks_fencing:
            assert not any(
                outdated for _, outdated in self.simulation.applied_orders
            )

    @stateful.invariant()
    def at_most_one_order_is_in_flight_per_router(self):
        """Check that no order is sent while another is in flight."""
        assert self.simulation.highest_in_flight <= 1

    def teardown(self):
        """End all faults; check that the engine reaches its desired state."""
        self.simulation.slow_orders, self.simulation.fault_rate = False, 0.0
        self.simulation.pause_before_send = set()
        for name in "abc":
            self.simulation.set_paused(name, False)
            self.simulation.set_desired_model(
                name, "last" if name == "a" else None
            )
        self.simulation.advance(200.0)
        assert self.simulation.state.versions == {"last@1"}
        assert all(
            reconciler.is_idle
            for reconciler in self.simulation.reconcilers.values()
        )


def run_machine(reconciler_class, simulation_class, *, checks_fencing):
    attributes = {
        "reconciler_class": reconciler_class,
        "simulation_class": simulation_class,
        "checks_fencing": checks_fencing,
    }
    machine = type("Machine", (OrderMachine,), attributes)
    settings = hypothesis.settings(
        derandomize=True,
        database=None,
        deadline=None,
        max_examples=100,
        phases=[hypothesis.Phase.generate],
        stateful_step_count=STEPS_PER_EXAMPLE,
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    stateful.run_state_machine_as_test(machine, settings=settings)


@pytest.mark.parametrize("checks_fencing", [True, False])
def test_order_of_a_previous_holder_is_never_applied_last(
    checks_fencing, simulation_class
):
    """Guards against an old order that is applied after a newer one.

    The previous holder was paused or its order took long to arrive.
    """
    run_machine(
        engine_reconciler.EngineReconciler,
        simulation_class,
        checks_fencing=checks_fencing,
    )


@pytest.mark.parametrize(
    ("reconciler_class", "checks_fencing"),
    [
        (NoWaitReconciler, False),
        (NoFencingReconciler, True),
        (NoFencingReconciler, False),
    ],
)
def test_machine_detects_a_naive_reconciler(
    reconciler_class, checks_fencing, simulation_class
):
    """Shows that the machine finds late orders of a previous holder."""
    with pytest.raises(AssertionError):
        run_machine(
            reconciler_class, simulation_class, checks_fencing=checks_fencing
        )
