"""Tests that faults at any step neither overspend nor bill twice."""

from __future__ import annotations

import itertools

from hypothesis import stateful
import pytest

from jasminetally import _errors
from jasminetally._budget import budget_state
from jasminetally._budget import claim_effects
from jasminetally._budget import known_results
from jasminetally._budget import manager
from jasminetally._budget import transfer_handler
from jasminetally._budget import unknown_result
from jasminetally._budget import write_log
from jasminetally._ledger import claim_outcomes
from jasminetally._ledger import recovery_transitions
from jasminetally._ledger import request_transitions
from testing.budget import fault_machine
from testing.budget import hypothesis_settings


def run_fault_machine(make_fleet):
    stateful.run_state_machine_as_test(
        fault_machine.make_machine(make_fleet),
        settings=hypothesis_settings.DETERMINISTIC,
    )


def settle_during_faults(make_fleet):
    """Settle requests during platform faults of each kind and length."""
    for fault, tenths in itertools.product(("lost", "late", "slow"), range(24)):
        fleet = make_fleet(3)
        fleet.top_up("b", 30_000)
        fleet.advance(2.0)
        for number in range(6):
            name = f"r{number % 3}#1"
            fleet.submit(name, "b", 300, 200, key_hash=f"k{number}")
        fleet.advance(0.8)
        fleet.store.fault = fault
        fleet.advance(0.1 * tenths)
        fleet.store.fault = None
        fleet.advance(3.0)
        fleet.finish()


def test_settlements_during_platform_faults_are_billed_once(make_fleet):
    """Guards against double or missing bills after a lost reply."""
    settle_during_faults(make_fleet)


def test_no_fault_sequence_overspends_or_bills_twice(make_fleet):
    """Guards against overspend, double bills and lost tokens under faults."""
    run_fault_machine(make_fleet)


def repeat_unknown_writes(patch):
    """Treat a write with a lost reply as one that had no effect."""
    original = manager.BudgetManager.on_written

    def on_written(self, result, now_s):
        if isinstance(result, unknown_result.Unknown):
            result = known_results.Conflict()
        return original(self, result, now_s)

    patch.setattr(manager.BudgetManager, "on_written", on_written)


def trust_first_read(patch):
    """Treat a read of the old version as proof that a write had no effect."""
    original = manager.BudgetManager.on_record

    def on_record(self, record, version, now_s):
        log = self._context.write_log
        effects = original(self, record, version, now_s)
        log.in_doubt = []
        return effects

    patch.setattr(manager.BudgetManager, "on_record", on_record)


def spend_before_confirmation(patch):
    """Spend a grant before its write is confirmed."""
    original = budget_state.BudgetState.usable.fget
    patch.setattr(
        budget_state.BudgetState,
        "usable",
        property(lambda self: original(self) + 500 * (not self.confirmed)),
    )


def forget_given_transfers(patch):
    """Spend tokens that were given to a peer."""
    patch.setattr(budget_state.BudgetState, "given_tokens", 0)


def accept_repeated_transfers(patch):
    """Add the tokens of a transfer again when its reply is repeated."""

    class DiscardingSet(set):
        def add(self, item):
            pass

    original = transfer_handler.TransferHandler.__init__

    def init(self, context):
        original(self, context)
        self._accepted_ids = DiscardingSet()

    patch.setattr(transfer_handler.TransferHandler, "__init__", init)


def free_open_runs(patch):
    """Return a dead router's reserved tokens as if nothing had run."""
    original = recovery_transitions.reclaim_grant

    def reclaim(draft, change):
        object.__setattr__(change, "unbilled", 0)
        object.__setattr__(change, "billable_runs", ())
        return original(draft, change)

    patch.setattr(recovery_transitions, "reclaim_grant", reclaim)


def bill_every_run(patch):
    """Bill a completed key again."""
    original = request_transitions.bill_tokens

    def bill(draft, change, *, incarnation):
        draft.requests = dict(draft.requests)
        draft.requests.pop(change.key_hash, None)
        return original(draft, change, incarnation=incarnation)

    patch.setattr(request_transitions, "bill_tokens", bill)


def run_before_claim(patch):
    """Run a request as soon as its claim is queued."""
    original = manager.BudgetManager.claim

    def claim(self, request, now_s):
        early = claim_effects.ClaimDecided(
            request.reservation, request.key_hash, claim_outcomes.Claimed()
        )
        return [early, *original(self, request, now_s)]

    patch.setattr(manager.BudgetManager, "claim", claim)


def forget_writes_in_doubt(patch):
    """Never resolve a write by a later record."""
    patch.setattr(write_log.WriteLog, "resolve_writes", lambda *_: None)


@pytest.mark.parametrize(
    "naive",
    [
        repeat_unknown_writes,
        trust_first_read,
        spend_before_confirmation,
        forget_given_transfers,
        accept_repeated_transfers,
        free_open_runs,
        bill_every_run,
        run_before_claim,
        forget_writes_in_doubt,
    ],
    ids=lambda naive: naive.__name__,
)
def test_naive_variant_is_detected(make_fleet, monkeypatch, naive):
    """Guards against fault sequences that can't show a violation."""
    naive(monkeypatch)
    with pytest.raises((AssertionError, _errors.InvariantError)):
        settle_during_faults(make_fleet)
        run_fault_machine(make_fleet)
