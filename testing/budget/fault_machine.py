"""Hypothesis state machine that applies faults to a fleet at any step."""

from __future__ import annotations

from hypothesis import stateful
from hypothesis import strategies as st

ROUTERS = st.integers(0, 3)
BUDGETS = st.sampled_from(["b", "c"])
TOKENS = st.integers(1, 900)


def make_machine(make_fleet):
    """Return a state machine class for a fleet of four routers."""

    class FaultMachine(stateful.RuleBasedStateMachine):
        def __init__(self):
            super().__init__()
            self.fleet = make_fleet(4, seed=1)
            self.fleet.top_up("b", 5000)
            self.fleet.top_up("c", 1500)
            self.restarts = 0

        def router_name(self, index):
            names = sorted(self.fleet.managers)
            return names[index % len(names)]

        @stateful.rule(
            router=ROUTERS,
            budget=BUDGETS,
            bound=TOKENS,
            actual_tokens=TOKENS,
            key=st.integers(0, 12),
            body=st.sampled_from(["x", "x", "x", "y"]),
            needs_claim=st.booleans(),
            rerun=st.booleans(),
        )
        def submit(
            self,
            router,
            budget,
            bound,
            actual_tokens,
            key,
            body,
            needs_claim,
            rerun,
        ):
            self.fleet.submit(
                self.router_name(router),
                budget,
                bound,
                actual_tokens,
                key_hash=f"{'claim' if needs_claim else 'key'}{key}",
                fingerprint=body,
                needs_claim=needs_claim,
                rerun=rerun and not needs_claim,
            )

        @stateful.rule(
            router=ROUTERS,
            budget=BUDGETS,
            bound=TOKENS,
            count=st.integers(1, 9),
        )
        def submit_burst(self, router, budget, bound, count):
            for _ in range(count):
                key = f"burst{self.fleet._number}"
                self.fleet.submit(
                    self.router_name(router), budget, bound, bound, key_hash=key
                )

        @stateful.rule(
            seconds=st.sampled_from([0.001, 0.003, 0.02, 0.3, 1, 5, 40])
        )
        def advance(self, seconds):
            self.fleet.advance(seconds)

        @stateful.rule(router=ROUTERS)
        def pause(self, router):
            self.fleet.pause(self.router_name(router))

        @stateful.rule(router=ROUTERS)
        def resume(self, router):
            self.fleet.resume(self.router_name(router))

        @stateful.rule(
            sides=st.lists(st.integers(0, 1), min_size=4, max_size=4),
            cut_off=st.lists(ROUTERS, max_size=3),
        )
        def partition(self, sides, cut_off):
            names = sorted(self.fleet.managers)
            self.fleet.partition(
                dict(zip(names, sides, strict=False)),
                {self.router_name(index) for index in cut_off},
            )

        @stateful.rule(
            fault=st.sampled_from([None, "lost", "late", "late", "slow"])
        )
        def set_platform_fault(self, fault):
            self.fleet.store.fault = fault

        @stateful.rule(
            router=ROUTERS,
            fault=st.sampled_from(["lost", "late", "slow"]),
            bound=TOKENS,
            seconds=st.sampled_from([0.4, 1.7, 2.1]),
        )
        def settle_during_fault(self, router, fault, bound, seconds):
            """Start a platform fault shortly before a settlement is written."""
            self.submit_burst(router, "b", bound, 2)
            self.fleet.advance(0.6)
            self.fleet.store.fault = fault
            self.fleet.advance(seconds)
            self.fleet.store.fault = None
            self.fleet.advance(1.0)

        @stateful.precondition(lambda self: not self.fleet.dead_routers)
        @stateful.rule(
            router=ROUTERS,
            bound=TOKENS,
            seconds=st.sampled_from([0.0, 0.004, 0.2, 0.6, 1.6]),
        )
        def kill_during_run(self, router, bound, seconds):
            """Kill a router before, during or after runs, then recover it."""
            name = self.router_name(router)
            for _ in range(3):
                key = f"burst{self.fleet._number}"
                self.fleet.submit(name, "b", bound, bound, key_hash=key)
            self.fleet.advance(seconds)
            self.fleet.kill(name)
            self.fleet.heal()
            self.fleet.advance(2.0)
            self.fleet.recover_dead_routers()

        @stateful.rule()
        def heal(self):
            self.fleet.heal()

        @stateful.rule(budget=BUDGETS, tokens=TOKENS)
        def top_up(self, budget, tokens):
            self.fleet.top_up(budget, tokens)

        @stateful.precondition(lambda self: len(self.fleet.managers) > 2)
        @stateful.rule(router=ROUTERS)
        def kill(self, router):
            self.fleet.kill(self.router_name(router))

        @stateful.rule()
        def recover_and_restart(self):
            self.fleet.recover_dead_routers()
            if len(self.fleet.managers) < 4:
                self.restarts += 1
                self.fleet.start_router(f"r9#{self.restarts}")

        @stateful.invariant()
        def invariants_hold(self):
            self.fleet.check_invariants()

        def teardown(self):
            self.fleet.finish()

    return FaultMachine
