"""Virtual-time fleet that drives budget managers through faults."""

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

    ``ran`` counts what engines ran, ``answers`` the runs that were reported
    to callers, and ``claim_runs`` the runs of requests that may run once.
    """

    def __init__(
        self,
        routers=3,
        *,
        policy=None,
        seed=0,
        build=manager.BudgetManager,
        run_s=0.5,
    ):
        self.build = build
        self.policy = policy or grant_policy.GrantPolicy()
        self.rng = random.Random(seed)
        self.run_s = run_s
        self.now = 0.0
        self.store = fake_store.Store()
        self.cut = set()
        self.groups = {}
        self.managers = {}
        self.paused = {}
        self.dead = []
        self.recoveries = 0
        self.journals = {}
        self.runs = {}
        self.ran = collections.Counter()
        self.paid = collections.Counter()
        self.top_ups = {}
        self.answers = collections.Counter()
        self.claim_runs = collections.Counter()
        self.results = {}
        self._queue = []
        self._number = 0
        for index in range(routers):
            self.spawn(f"r{index}#1")

    # Faults and inputs.

    def spawn(self, name):
        """Start a router."""
        self.managers[name] = self.build(
            account="a",
            incarnation=name,
            policy=self.policy,
            rng=random.Random(self.rng.random()),
        )
        self.groups[name] = 0
        self.configure()
        self.connect()

    def kill(self, name):
        """End a router; its writes under way still land."""
        del self.managers[name]
        self.paused.pop(name, None)
        self.dead.append(name)
        self.connect()

    def pause(self, name):
        """Stop a router before its next step."""
        self.paused.setdefault(name, [])
        self.connect()

    def resume(self, name):
        """Let a paused router take up its backlog."""
        backlog = self.paused.pop(name, [])
        self.connect()
        for act in backlog:
            act()

    def partition(self, groups, cut=()):
        """Put routers on sides; cut some off from the platform."""
        self.groups.update(groups)
        self.cut = set(cut)
        self.connect()

    def heal(self):
        """End partitions, pauses and platform faults."""
        self.partition(dict.fromkeys(self.groups, 0))
        self.store.fault = None
        for name in list(self.paused):
            self.resume(name)

    def top_up(self, budget, tokens):
        """Pay tokens into a budget."""
        entries = self.top_ups.setdefault(budget, {})
        entries[f"t{len(entries)}"] = tokens
        self.paid[budget] += tokens
        self.configure()

    def configure(self):
        """Give every router the current top-ups."""
        terms = {
            name: budget_terms.BudgetTerms(dict(entries))
            for name, entries in self.top_ups.items()
        }
        count = len(self.managers)
        for name in list(self.managers):
            self.call(name, lambda m: m.on_config(terms, count, self.now))

    def connect(self):
        """Give every router the peers that it reaches."""
        for name in list(self.managers):
            peers = [
                p for p in self.managers if p != name and self.meets(name, p)
            ]
            self.call(name, lambda m, p=peers: m.on_peers(p, self.now))

    def meets(self, name, peer):
        """Return whether a router reaches a peer."""
        return (
            peer in self.managers
            and peer not in self.paused
            and self.groups[name] == self.groups[peer]
        )

    def submit(self, router, budget, bound, actual, **options):
        """Submit a request; ``claims`` says that it may run once."""
        claims = options.pop("claims", False)
        wait_s = options.pop("wait_s", 2.0)
        self._number += 1
        req = reserve_request.ReserveRequest(
            f"q{self._number}", budget, bound, self.now + wait_s, **options
        )
        self.runs[(router, req.reservation)] = (req, actual, claims)
        self.call(router, lambda m: m.reserve(req, self.now))
        return req.reservation

    def drain(self):
        """Drain every router."""
        for name in list(self.managers):
            self.call(name, lambda m: m.drain(self.now))

    def recover(self):
        """Recover dead routers if no fault hinders it."""
        fake_recovery.recover(self)

    def check(self):
        """Check that neither the books nor the engines exceed what was paid."""
        for budget, paid in self.paid.items():
            assert self.ran[budget] <= paid, f"engines ran {self.ran} of {paid}"
        for budget, entry in self.budgets().items():
            assert sum(entry.credited.values()) <= self.paid[budget]
            assert entry.settled + entry.unbilled <= self.paid[budget]
        assert all(count <= 1 for count in self.claim_runs.values())

    def budgets(self):
        """Return the budgets of the stored record."""
        record = self.store.record
        return {} if record is None else record.budgets

    def finish(self):
        """End all faults, recover, drain; check the final books."""
        self.heal()
        self.advance(5.0)
        self.recover()
        self.advance(10.0)
        self.drain()
        for _ in range(60):
            self.advance(0.5)
            if all(m.drained for m in self.managers.values()):
                break
        self.check()
        assert all(m.drained for m in self.managers.values()), "not drained"
        completed = collections.Counter()
        for entry in self.store.record.requests.values() if self.paid else ():
            completed[entry.budget] += entry.tokens
        for budget, entry in self.budgets().items():
            assert sum(entry.credited.values()) == self.paid[budget]
            assert not entry.grants, "tokens are held for good"
            assert entry.settled + entry.unbilled >= self.ran[budget]
            if not self.dead:
                assert entry.settled + entry.unbilled == self.ran[budget]
            assert entry.settled == completed[budget]
