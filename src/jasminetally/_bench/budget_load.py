"""Control loads of budget writers and of request claims."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from jasminetally._bench import control_manifest
from jasminetally._budget import admission_effects
from jasminetally._budget import budget_terms
from jasminetally._budget import claim_effects
from jasminetally._budget import claim_request
from jasminetally._budget import grant_policy
from jasminetally._budget import known_results
from jasminetally._budget import manager
from jasminetally._budget import platform_effects
from jasminetally._budget import reserve_request
from jasminetally._budget import usage
from jasminetally._ledger import grant_operations
from jasminetally._ledger import record_codec
from jasminetally._ledger import transitions
from jasminetally._shared import token_bucket

if TYPE_CHECKING:
    from jasminetally._bench import control_size
    from jasminetally._bench import control_tally
    from jasminetally._budget import effect

TICKS_PER_S = 50
# Requests that this router takes for each budget.
REQUESTS_PER_BUDGET_PER_S = 0.05
RESERVED_TOKENS = 2000
USED_TOKENS = 700
RUN_DURATION_S = 1.0
INCARNATION = "router-0#1"


class BudgetLoad:
    """Budget managers of one router and the account records they write.

    Each record holds a grant of every other router in each budget, as it does
    when all routers serve the account.
    """

    claims_enabled = False

    def __init__(self, size: control_size.ControlSize) -> None:
        self._rng = random.Random(1)
        self._last_run_number = 0
        self._running: list[tuple[float, str, str]] = []
        self._next_tick_s: dict[str, float] = {}
        self._key_hashes: dict[str, str] = {}
        self._managers: dict[str, manager.BudgetManager] = {}
        self._records: dict[str, tuple[int, bytes]] = {}
        self._budgets: list[tuple[str, str]] = []
        policy = grant_policy.GrantPolicy()
        write_limiter = token_bucket.TokenBucket(
            rate_per_s=policy.fleet_writes_per_s / size.routers
        )
        stored = control_manifest.build_config(size, 1)
        for account, declared in stored.manifest.client_accounts.items():
            self._budgets += [(account, budget) for budget in declared.budgets]
            self._records[account] = (
                1,
                _encode_record(declared.budgets, size.routers),
            )
            self._managers[account] = manager.BudgetManager(
                account=account,
                incarnation=INCARNATION,
                policy=policy,
                rng=self._rng,
                write_limiter=write_limiter,
            )
            terms = {
                budget: budget_terms.BudgetTerms({"t": 10_000_000})
                for budget in declared.budgets
            }
            self._managers[account].on_config(terms, size.routers, 0.0)

    def step(self, now_s: float, tally: control_tally.ControlTally) -> None:
        """Admit, settle and write the requests of one second."""
        arrivals = len(self._budgets) * REQUESTS_PER_BUDGET_PER_S
        count = int(arrivals) + (self._rng.random() < arrivals % 1.0)
        times = sorted(now_s + self._rng.random() for _ in range(count))
        for tick in range(TICKS_PER_S):
            at_s = now_s + tick / TICKS_PER_S
            while times and times[0] <= at_s:
                times.pop(0)
                self._reserve_next(at_s, tally)
            while self._running and self._running[0][0] <= at_s:
                _, account, run = self._running.pop(0)
                budget_manager = self._managers[account]
                effects = budget_manager.finish(
                    run, usage.Usage(USED_TOKENS), at_s
                )
                self._run_effects(account, effects, at_s, tally)
            for account, budget_manager in self._managers.items():
                if self._next_tick_s.get(account, 0.0) <= at_s:
                    self._run_effects(
                        account, budget_manager.tick(at_s), at_s, tally
                    )

    def _reserve_next(
        self, now_s: float, tally: control_tally.ControlTally
    ) -> None:
        account, budget = self._rng.choice(self._budgets)
        self._last_run_number += 1
        run = f"run-{self._last_run_number}"
        self._key_hashes[run] = f"{self._rng.getrandbits(128):032x}"
        request = reserve_request.ReserveRequest(
            run,
            budget,
            RESERVED_TOKENS,
            now_s + 2.0,
            self._key_hashes[run],
            "f",
        )
        effects = self._managers[account].reserve(request, now_s)
        self._run_effects(account, effects, now_s, tally)

    def _run_effects(
        self,
        account: str,
        effects: list[effect.Effect],
        now_s: float,
        tally: control_tally.ControlTally,
    ) -> None:
        budget_manager = self._managers[account]
        pending = list(effects)
        while pending:
            match pending.pop(0):
                case platform_effects.ReadRecord():
                    tally.platform_reads += 1
                    version, value = self._records[account]
                    record = record_codec.decode(value)
                    pending += budget_manager.on_record(record, version, now_s)
                case platform_effects.WriteRecord(value=value):
                    tally.platform_writes += 1
                    version = self._records[account][0] + 1
                    self._records[account] = (version, value)
                    written = known_results.Written(version)
                    pending += budget_manager.on_written(written, now_s)
                case admission_effects.Admit(reservation=run):
                    pending += self._on_admitted(account, run, now_s)
                case claim_effects.ClaimDecided(reservation=run):
                    self._running.append((now_s + RUN_DURATION_S, account, run))
                case admission_effects.Settled(reservation=run):
                    self._key_hashes.pop(run, None)
        self._next_tick_s[account] = budget_manager.next_tick_s(now_s)

    def _on_admitted(
        self, account: str, run: str, now_s: float
    ) -> list[effect.Effect]:
        if not self.claims_enabled:
            self._running.append((now_s + RUN_DURATION_S, account, run))
            return []
        request = claim_request.ClaimRequest(
            run, self._key_hashes[run], "f", "engine-1", now_s + 2.0
        )
        return self._managers[account].claim(request, now_s)


class ClaimLoad(BudgetLoad):
    """Budget load in which each request is claimed before it runs."""

    claims_enabled = True


def _encode_record(budgets: dict, routers: int) -> bytes:
    changes = []
    for budget in budgets:
        changes.append(grant_operations.CreditTopUp(budget, "t", 10_000_000))
        changes += [
            grant_operations.AddGrant(
                budget, f"router-{number}#1/1", f"router-{number}#1", 1000
            )
            for number in range(1, routers)
        ]
    record = transitions.apply_operations(
        None, changes, writer="router-1#1", sequence=1, now_wall_s=0.0
    ).record
    writers = {f"router-{number}#1": 9 for number in range(1, routers)}
    return record_codec.encode(record._replace(writers=writers))
