"""Admission and settlement of requests in a simulated router."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

from jasminetally._bench import answer_finder
from jasminetally._bench import run_state
from jasminetally._bench import verdict
from jasminetally._budget import admission_effects
from jasminetally._budget import claim_effects
from jasminetally._budget import claim_request
from jasminetally._budget import key_effects
from jasminetally._budget import reserve_request
from jasminetally._budget import usage
from jasminetally._ledger import claim_outcomes
from jasminetally._recovery import journal_entry

if TYPE_CHECKING:
    from collections.abc import Callable

    from jasminetally._bench import account_driver
    from jasminetally._bench import bench_request
    from jasminetally._bench import budget_simulation
    from jasminetally._bench import host
    from jasminetally._bench import jasminetally_policy
    from jasminetally._budget import effect

RESERVE_TIMEOUT_S = 2.0


class RequestRunner:
    """Takes each request from its reservation to its settlement.

    The order is: reserve, claim, append to the journal, run, settle.
    """

    def __init__(
        self,
        policy: jasminetally_policy.JasminetallyPolicy,
        sim: budget_simulation.BudgetSimulation,
        process: host.Host,
    ) -> None:
        self._policy = policy
        self._sim = sim
        self._process = process
        self._answers = answer_finder.AnswerFinder(sim, process, policy.peers)
        self._run_numbers = itertools.count()
        self._runs: dict[str, run_state.RunState] = {}
        self._admitted_by_key: dict[str, run_state.RunState] = {}

    def reserve(
        self,
        req: bench_request.BenchRequest,
        decide: Callable[[verdict.Verdict], None],
        *,
        rerun: bool = False,
    ) -> None:
        """Reserve, claim if unrepeatable and append to the journal.

        Args:
            req: Request.
            decide: Called with the verdict.
            rerun: Whether a completed request runs again without billing.
        """
        run = f"{req.key_hash}.{next(self._run_numbers)}"
        state = run_state.RunState(run, req, decide)
        self._runs[run] = state
        driver = self._policy.driver_for(req.account)
        now_s = self._process.now_s
        driver.run_effects(
            driver.manager.reserve(
                reserve_request.ReserveRequest(
                    reservation=run,
                    budget=req.budget,
                    tokens=req.bound,
                    wait_until_s=now_s + RESERVE_TIMEOUT_S,
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
        """Settle; release the answer after storing and journalling it.

        Only the answers of unrepeatable requests are stored, and without
        recovery nothing is journalled. The answer is released even if one of
        the two fails.
        """
        state = self._admitted_by_key.pop(req.key_hash)
        driver = self._policy.driver_for(req.account)
        driver.run_effects(
            driver.manager.finish(
                state.run, usage.Usage(tokens), self._process.now_s
            )
        )

        def append_finish() -> None:
            if not self._policy.recovery_enabled:
                release()
                return
            entry = journal_entry.JournalFinish(state.run, tokens)
            self._policy.journal.append_entry(entry, lambda _: release())

        if req.repeatable:
            append_finish()
        else:
            self._answers.store_answer(req, append_finish)

    def run_effect(
        self, driver: account_driver.AccountDriver, each: effect.Effect
    ) -> None:
        """Execute an effect of a budget manager on a request."""
        match each:
            case admission_effects.Admit():
                self._on_admit(driver, each)
            case admission_effects.Refuse():
                self._decide(each.reservation, verdict.refused(each.reason))
            case admission_effects.Settled():
                self._policy.journal.drop_durable([each.reservation])
            case key_effects.AlreadyCompleted() | key_effects.AlreadyClaimed():
                state = self._runs.pop(each.reservation)
                self._answers.find_answer(
                    state.req,
                    each.entry,
                    decide=state.decide,
                    rerun=lambda: self.reserve(
                        state.req, state.decide, rerun=True
                    ),
                )
            case claim_effects.ClaimDecided():
                self._on_claim(driver, each)

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
            server=_server_name(self._sim, state.req),
            wait_until_s=now_s + RESERVE_TIMEOUT_S,
        )
        driver.run_effects(driver.manager.claim(request, now_s))

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
                self._answers.find_answer(
                    state.req, entry, decide=state.decide, rerun=None
                )
            case _:
                self._decide(state.run, verdict.refused("claim"))

    def _journal_reserve(
        self,
        driver: account_driver.AccountDriver,
        state: run_state.RunState,
    ) -> None:
        """Journal the reservation, then run or refuse the request.

        It runs if a peer acknowledged the entry in time or if the isolated
        share covers it.
        """
        req = state.req
        entry = journal_entry.JournalReserve(
            run=state.run,
            key_hash=req.key_hash,
            fingerprint=req.key_hash,
            account=req.account,
            budget=req.budget,
            grant=state.grant,
            tokens=req.bound,
            server=_server_name(self._sim, req),
            claimed=not req.repeatable,
        )

        def decided(acknowledged: bool) -> None:
            now_s = self._process.now_s
            if (
                acknowledged
                or state.isolated
                or driver.manager.use_isolated_share(state.run, now_s)
            ):
                self._admitted_by_key[req.key_hash] = state
                self._decide(state.run, verdict.ADMITTED)
                return
            self._policy.journal.drop_durable([state.run])
            driver.run_effects(driver.manager.cancel(state.run, now_s))
            self._decide(state.run, verdict.refused("journal"))

        if not self._policy.recovery_enabled:
            decided(True)
            return
        self._policy.journal.append_entry(entry, decided)

    def _decide(self, run: str, result: verdict.Verdict) -> None:
        state = self._runs.pop(run, None)
        if state is not None:
            state.decide(result)


def _server_name(
    sim: budget_simulation.BudgetSimulation, req: bench_request.BenchRequest
) -> str:
    return f"engine-{int(req.key_hash, 16) % sim.fleet.engines}"
