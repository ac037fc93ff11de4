"""The design's policy: escrow grants, transfers, journals and recovery."""

from __future__ import annotations

import itertools
import random
from typing import TYPE_CHECKING

from jasminetally._bench import account_driver
from jasminetally._bench import answer_desk
from jasminetally._bench import journal_driver
from jasminetally._bench import peer_directory
from jasminetally._bench import recovery_driver
from jasminetally._bench import run_state
from jasminetally._bench import transfer_driver
from jasminetally._bench import verdict
from jasminetally._budget import admission_effects
from jasminetally._budget import budget_terms
from jasminetally._budget import claim_effects
from jasminetally._budget import claim_request
from jasminetally._budget import grant_policy
from jasminetally._budget import key_effects
from jasminetally._budget import manager
from jasminetally._budget import reserve_request
from jasminetally._budget import transfer_effects
from jasminetally._budget import usage
from jasminetally._budget import write_allowance
from jasminetally._ledger import claim_outcomes
from jasminetally._recovery import journal_codec
from jasminetally._recovery import journal_entry

if TYPE_CHECKING:
    from collections.abc import Callable

    from jasminetally._bench import bench_request
    from jasminetally._bench import budget_world
    from jasminetally._bench import host
    from jasminetally._bench import top_up
    from jasminetally._budget import effect

MAX_WAIT_S = 2.0


def without_recovery(
    world: budget_world.BudgetWorld, process: host.Host
) -> JasminetallyPolicy:
    """Return the policy without journals and without recovery."""
    return JasminetallyPolicy(world, process, recovery=False)


class JasminetallyPolicy:
    """Drive ``BudgetManager`` and ``_recovery`` as the daemon does."""

    def __init__(
        self,
        world: budget_world.BudgetWorld,
        process: host.Host,
        *,
        recovery: bool = True,
    ) -> None:
        self._world = world
        self._process = process
        self._numbers = itertools.count()
        self._runs: dict[str, run_state.RunState] = {}
        self._by_key: dict[str, run_state.RunState] = {}
        self._accounts: dict[str, account_driver.AccountDriver] = {}
        self._rng = random.Random(world.rng.random())
        self._policy = grant_policy.GrantPolicy()
        self._allowance = write_allowance.WriteAllowance(
            rate=self._policy.fleet_writes_per_s / len(world.where.routers)
        )
        self.recovers = recovery
        self.peers = peer_directory.PeerDirectory(
            world,
            process,
            on_reachable=self._on_reachable,
            on_death=self._on_death,
            on_status=self._on_status,
        )
        self.journal = journal_driver.JournalDriver(world, process, self.peers)
        self.transfers = transfer_driver.TransferDriver(self)
        self._answers = answer_desk.AnswerDesk(world, process, self.peers)
        self.recovery = recovery_driver.RecoveryDriver(
            world,
            process,
            self.peers,
            self.journal,
            on_gone=self._on_gone,
            accounts=lambda: self._accounts,
            transfers=self._transfers_with,
        )

    def account(self, account: str) -> account_driver.AccountDriver:
        """Return the driver of an account, new if there is none."""
        found = self._accounts.get(account)
        if found is not None:
            return found
        found = account_driver.AccountDriver(
            self._process,
            self._world.platform,
            self._world.observer,
            manager.BudgetManager(
                account=account,
                incarnation=self._process.incarnation,
                policy=self._policy,
                rng=self._rng,
                allowance=self._allowance,
            ),
            account=account,
            on_effect=self._on_effect,
            on_record=self.transfers.forget_converted,
        )
        self._accounts[account] = found
        found.run(
            found.manager.on_peers(self.peers.reachable(), self._process.now_s)
        )
        return found

    def send(self, peer: str, method: str, message: object, size: int) -> None:
        """Send a message to a peer's budget manager, ``size`` in bytes."""
        process = self.peers.host_of(peer)
        if process is None:
            return
        policy = self._world.routers[process.instance].policy
        self._world.net.send(
            self._process,
            process,
            policy.receive,
            self._process.incarnation,
            method,
            message,
            size_bytes=size,
        )

    def receive(self, sender: str, method: str, message: object) -> None:
        """Hand a peer's message to the manager of its account."""
        if sender in self.peers.deaths:
            return
        driver = self.account(message.account)
        handle = getattr(driver.manager, method)
        driver.run(handle(message, self._process.now_s))

    def on_config(self, top_ups: dict[str, top_up.TopUp]) -> None:
        """Hand the top-ups of a newer configuration to the managers."""
        terms: dict[str, dict[str, dict[str, int]]] = {}
        for each in top_ups.values():
            budgets = terms.setdefault(each.account, {})
            budgets.setdefault(each.budget, {})[each.top_up] = each.tokens
        for account, budgets in terms.items():
            driver = self.account(account)
            driver.run(
                driver.manager.on_config(
                    {
                        budget: budget_terms.BudgetTerms(found)
                        for budget, found in budgets.items()
                    },
                    len(self._world.where.routers),
                    self._process.now_s,
                )
            )

    def reserve(
        self,
        req: bench_request.BenchRequest,
        decide: Callable[[verdict.Verdict], None],
        *,
        rerun: bool = False,
    ) -> None:
        """Reserve, claim if needed and append to the journal."""
        run = f"{req.key_hash}.{next(self._numbers)}"
        state = run_state.RunState(run, req, decide)
        self._runs[run] = state
        driver = self.account(req.account)
        now_s = self._process.now_s
        driver.run(
            driver.manager.reserve(
                reserve_request.ReserveRequest(
                    reservation=run,
                    budget=req.budget,
                    tokens=req.bound,
                    wait_until_s=now_s + MAX_WAIT_S,
                    key_hash=req.key_hash,
                    fingerprint=req.key_hash,
                    rerun=rerun,
                ),
                now_s,
            )
        )

    def finish(
        self,
        req: bench_request.BenchRequest,
        tokens: int,
        release: Callable[[], None],
    ) -> None:
        """Settle; the answer waits for journal and stored answer."""
        state = self._by_key.pop(req.key_hash)
        driver = self.account(req.account)
        driver.run(
            driver.manager.finish(
                state.run, usage.Usage(tokens), self._process.now_s
            )
        )

        def stored() -> None:
            if not self.recovers:
                release()
                return
            entry = journal_entry.JournalFinish(state.run, tokens)
            self.journal.append(entry, lambda _: release())

        if req.repeatable:
            stored()
        else:
            self._answers.store(req, stored)

    def _on_reachable(self) -> None:
        self.journal.on_reachable()
        for driver in self._accounts.values():
            driver.run(
                driver.manager.on_peers(
                    self.peers.reachable(), self._process.now_s
                )
            )

    def _on_death(self, incarnation: str) -> None:
        if self.recovers:
            self.recovery.on_death(incarnation)
        else:
            self._on_gone(incarnation)

    def _on_status(self) -> None:
        if self.recovers:
            self.recovery.on_status()

    def _transfers_with(self, dead: str) -> list[bytes]:
        """Return encoded transfers from and to a dead router."""
        notes = [
            note
            for driver in self._accounts.values()
            for note in (
                *driver.manager.notes_from(dead),
                *driver.manager.notes_to(dead),
            )
        ]
        return [
            *self.journal.store.transfers_to(dead),
            *(
                journal_codec.encode(transfer_driver.journal_form(note))
                for note in notes
            ),
        ]

    def _on_gone(self, incarnation: str) -> None:
        for driver in self._accounts.values():
            driver.run(
                driver.manager.on_peer_gone(incarnation, self._process.now_s)
            )

    def _on_effect(
        self, driver: account_driver.AccountDriver, each: effect.Effect
    ) -> None:
        match each:
            case admission_effects.Admit():
                self._on_admit(driver, each)
            case admission_effects.Refuse():
                self._decide(each.reservation, verdict.refused(each.reason))
            case admission_effects.Settled():
                self.journal.durable([each.reservation])
            case key_effects.AlreadyCompleted() | key_effects.AlreadyClaimed():
                state = self._runs.pop(each.reservation)
                self._answers.find(
                    state.req,
                    each.entry,
                    decide=state.decide,
                    rerun=lambda: self.reserve(
                        state.req, state.decide, rerun=True
                    ),
                )
            case claim_effects.ClaimDecided():
                self._on_claim(driver, each)
            case (
                transfer_effects.AskTransfer()
                | transfer_effects.AppendJournal()
                | transfer_effects.SendTransfer()
            ):
                self.transfers.run(each)

    def _on_admit(
        self,
        driver: account_driver.AccountDriver,
        admit: admission_effects.Admit,
    ) -> None:
        state = self._runs[admit.reservation]
        state.grant = admit.grant
        state.isolated = admit.isolated
        if state.req.repeatable:
            self._journal_reserve(driver, state)
            return
        now_s = self._process.now_s
        request = claim_request.ClaimRequest(
            reservation=state.run,
            key_hash=state.req.key_hash,
            fingerprint=state.req.key_hash,
            server=_server(self._world, state.req),
            wait_until_s=now_s + MAX_WAIT_S,
        )
        driver.run(driver.manager.claim(request, now_s))

    def _on_claim(
        self,
        driver: account_driver.AccountDriver,
        decided: claim_effects.ClaimDecided,
    ) -> None:
        state = self._runs.get(decided.reservation)
        if state is None:
            return
        match decided.outcome:
            case claim_outcomes.Claimed():
                self._journal_reserve(driver, state)
            case claim_outcomes.AlreadyClaimed(entry):
                del self._runs[state.run]
                self._answers.find(
                    state.req, entry, decide=state.decide, rerun=None
                )
            case _:
                self._decide(state.run, verdict.refused("claim"))

    def _journal_reserve(
        self,
        driver: account_driver.AccountDriver,
        state: run_state.RunState,
    ) -> None:
        """Run once a peer knows the reservation, or from the isolated share."""
        req = state.req
        entry = journal_entry.JournalReserve(
            run=state.run,
            key_hash=req.key_hash,
            fingerprint=req.key_hash,
            account=req.account,
            budget=req.budget,
            grant=state.grant,
            tokens=req.bound,
            server=_server(self._world, req),
            claimed=not req.repeatable,
        )

        def decided(acknowledged: bool) -> None:
            now_s = self._process.now_s
            if (
                acknowledged
                or state.isolated
                or driver.manager.isolate(state.run, now_s)
            ):
                self._by_key[req.key_hash] = state
                self._decide(state.run, verdict.ADMITTED)
                return
            self.journal.durable([state.run])
            driver.run(driver.manager.cancel(state.run, now_s))
            self._decide(state.run, verdict.refused("journal"))

        if not self.recovers:
            decided(True)
            return
        self.journal.append(entry, decided)

    def _decide(self, run: str, found: verdict.Verdict) -> None:
        state = self._runs.pop(run, None)
        if state is not None:
            state.decide(found)


def _server(
    world: budget_world.BudgetWorld, req: bench_request.BenchRequest
) -> str:
    return f"engine-{int(req.key_hash, 16) % world.where.engines}"
