"""Fake fleet of budget managers in virtual time, with faults."""

from __future__ import annotations

import collections
import random

from jasminetally._budget import budget_terms
from jasminetally._budget import grant_policy
from jasminetally._budget import manager
from jasminetally._budget import reserve_request
from testing.budget import fake_executor
from testing.budget import fake_recovery
from testing.budget import fake_store


class Fleet(fake_executor.Executor):
    """Routers, their journals, engines and the platform in virtual time.

    Attributes:
        used_tokens: Tokens that engines used, by budget.
        paid_tokens: Tokens of all top-ups, by budget.
        answer_counts: Answers given to callers, by key.
        claimed_run_counts: Runs of requests that may run only once, by key.
        sides: Side of the partition that each router is on.
        cut_off: Routers that do not reach the platform.
        paused: Calls to each paused router that wait until it resumes.
        journals: Router -> peer that holds its journal -> entries by id.
        runs: ``(router, reservation)`` -> submitted request; a ``Run`` once it
            is admitted.
        results: Reservation -> decision.
    """

    def __init__(
        self,
        routers=3,
        *,
        policy=None,
        seed=0,
        manager_class=manager.BudgetManager,
        run_s=0.5,
    ):
        self.manager_class = manager_class
        self.policy = policy or grant_policy.GrantPolicy()
        self.rng = random.Random(seed)
        self.run_s = run_s
        self.now = 0.0
        self.store = fake_store.Store()
        self.cut_off = set()
        self.sides = {}
        self.managers = {}
        self.paused = {}
        self.dead_routers = []
        self.recovery_count = 0
        self.journals = {}
        self.runs = {}
        self.used_tokens = collections.Counter()
        self.paid_tokens = collections.Counter()
        self.top_ups = {}
        self.answer_counts = collections.Counter()
        self.claimed_run_counts = collections.Counter()
        self.results = {}
        self._queue = []
        self._number = 0
        for index in range(routers):
            self.start_router(f"r{index}#1")

    # Faults and input.

    def start_router(self, name):
        """Start a router."""
        self.managers[name] = self.manager_class(
            account="a",
            incarnation=name,
            policy=self.policy,
            rng=random.Random(self.rng.random()),
        )
        self.sides[name] = 0
        self.send_config()
        self.send_peers()

    def kill(self, name):
        """End a router without a drain; writes in flight still take effect."""
        del self.managers[name]
        self.paused.pop(name, None)
        self.dead_routers.append(name)
        self.send_peers()

    def pause(self, name):
        """Pause a router; calls to it are queued."""
        self.paused.setdefault(name, [])
        self.send_peers()

    def resume(self, name):
        """Resume a paused router and make the queued calls."""
        backlog = self.paused.pop(name, [])
        self.send_peers()
        for action in backlog:
            action()

    def partition(self, sides, cut_off=()):
        """Put routers on sides; cut some of them off from the platform."""
        self.sides.update(sides)
        self.cut_off = set(cut_off)
        self.send_peers()

    def heal(self):
        """End partitions, pauses and platform faults."""
        self.partition(dict.fromkeys(self.sides, 0))
        self.store.fault = None
        for name in list(self.paused):
            self.resume(name)

    def top_up(self, budget, tokens):
        """Add a top-up to the configuration."""
        entries = self.top_ups.setdefault(budget, {})
        entries[f"t{len(entries)}"] = tokens
        self.paid_tokens[budget] += tokens
        self.send_config()

    def send_config(self):
        """Send the current top-ups to all routers."""
        terms = {
            name: budget_terms.BudgetTerms(dict(entries))
            for name, entries in self.top_ups.items()
        }
        count = len(self.managers)
        for name in list(self.managers):
            self.call(name, lambda m: m.on_config(terms, count, self.now))

    def send_peers(self):
        """Send each router the peers that it reaches."""
        for name in list(self.managers):
            peers = [
                p
                for p in self.managers
                if p != name and self.can_reach(name, p)
            ]
            self.call(name, lambda m, p=peers: m.on_peers(p, self.now))

    def can_reach(self, name, peer):
        """Return whether a router reaches a peer."""
        return (
            peer in self.managers
            and peer not in self.paused
            and self.sides[name] == self.sides[peer]
        )

    def submit(self, router, budget, bound, actual_tokens, **options):
        """Submit a request to a router.

        Args:
            router: Incarnation.
            budget: Budget that pays.
            bound: Upper bound of the usage in tokens.
            actual_tokens: Tokens that the run uses, at most the bound.
            options: ``needs_claim`` if the request may run only once,
                ``wait_s`` for the deadline, else fields of ``ReserveRequest``.

        Returns:
            Id of the reservation.
        """
        needs_claim = options.pop("needs_claim", False)
        wait_s = options.pop("wait_s", 2.0)
        self._number += 1
        req = reserve_request.ReserveRequest(
            f"q{self._number}", budget, bound, self.now + wait_s, **options
        )
        self.runs[(router, req.reservation)] = (req, actual_tokens, needs_claim)
        self.call(router, lambda m: m.reserve(req, self.now))
        return req.reservation

    def drain(self):
        """Drain every router."""
        for name in list(self.managers):
            self.call(name, lambda m: m.drain(self.now))

    def recover_dead_routers(self):
        """Reclaim the grants of dead routers unless a fault prevents it."""
        fake_recovery.recover_dead_routers(self)

    def check_invariants(self):
        """Check that no budget is overspent and no claimed request reran."""
        for budget, paid_tokens in self.paid_tokens.items():
            assert self.used_tokens[budget] <= paid_tokens, (
                f"budget {budget}: engines used {self.used_tokens[budget]} "
                f"tokens of {paid_tokens} paid"
            )
        for budget, entry in self.budgets().items():
            assert sum(entry.credited.values()) <= self.paid_tokens[budget]
            assert entry.settled + entry.unbilled <= self.paid_tokens[budget]
        assert all(count <= 1 for count in self.claimed_run_counts.values())

    def budgets(self):
        """Return the budgets of the stored record."""
        record = self.store.record
        return {} if record is None else record.budgets

    def finish(self):
        """End all faults, recover, drain and check the final record."""
        self.heal()
        self.advance(5.0)
        self.recover_dead_routers()
        self.advance(10.0)
        self.drain()
        for _ in range(60):
            self.advance(0.5)
            if all(m.drained for m in self.managers.values()):
                break
        self.check_invariants()
        assert all(m.drained for m in self.managers.values()), (
            "a router was not drained within 30 s"
        )
        completed = collections.Counter()
        for entry in (
            self.store.record.requests.values() if self.paid_tokens else ()
        ):
            completed[entry.budget] += entry.tokens
        for budget, entry in self.budgets().items():
            assert sum(entry.credited.values()) == self.paid_tokens[budget]
            assert not entry.grants, "grants remain after the drain"
            assert entry.settled + entry.unbilled >= self.used_tokens[budget]
            if not self.dead_routers:
                assert (
                    entry.settled + entry.unbilled == self.used_tokens[budget]
                )
            assert entry.settled == completed[budget]
