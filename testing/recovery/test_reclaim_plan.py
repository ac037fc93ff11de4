"""Tests of what recovery changes in an account record."""

from __future__ import annotations

import pytest

from jasminetally._ledger import claim_operations
from jasminetally._ledger import grant_operations
from jasminetally._ledger import grant_outcomes
from jasminetally._ledger import record_codec
from jasminetally._ledger import settlement_operations
from jasminetally._ledger import transitions
from jasminetally._recovery import account_effects
from jasminetally._recovery import account_reclaim
from jasminetally._recovery import journal_codec
from jasminetally._recovery import journal_entry
from jasminetally._recovery import recovered_state
from jasminetally._recovery import recovery_manager
from jasminetally._recovery import recovery_policy
from jasminetally._recovery import router_events

DEAD = "dead#1"
LIVE = "live#2"
GRANT = "dead#1/1"


def apply_to(record, *ops, writer=DEAD):
    sequence = 1
    if record is not None:
        sequence += max(record.writers.get(writer, 0), 0)
    return transitions.apply_operations(
        record, ops, writer=writer, sequence=sequence, now_wall_s=1.0
    )


@pytest.fixture
def record():
    """A budget of 1000 tokens, 600 of them granted to the dead router."""
    return apply_to(
        None,
        grant_operations.CreditTopUp("bud", "t1", 1000),
        grant_operations.AddGrant("bud", GRANT, DEAD, 600),
    ).record


def reserve(run, tokens=100, key=None, claimed=False):
    return journal_entry.JournalReserve(
        run, key or run, "f", "acc", "bud", GRANT, tokens, "engine", claimed
    )


def transfer(tokens, *, giver=DEAD, receiver="x#9", number=0, grant=GRANT):
    return journal_entry.JournalTransfer(
        f"{grant}/{number}", "acc", "bud", grant, giver, receiver, tokens
    )


def recovered_from(*entries, sequence=1, complete=True, reported=None):
    """Return the recovered state with entries and one live responder.

    Args:
        entries: Journal entries.
        sequence: Sequence number of the entries; 0 for transfers that a live
            router holds.
        complete: Whether the state is complete.
        reported: Run -> tokens that a backend server reported.
    """
    export = tuple((sequence, journal_codec.encode(entry)) for entry in entries)
    return recovered_state.merge_exports(DEAD, [export])._replace(
        complete=complete,
        responders=frozenset({LIVE}),
        reported_tokens=reported or {},
    )


def reclaim(record, recovered):
    """Return the record after the reclaim, which must take one write."""
    account = account_reclaim.AccountReclaim(
        recovered, account="acc", incarnation="recoverer#5"
    )
    effect = account.on_read(record, 7, 2.0)
    assert isinstance(effect, account_effects.WriteAccount)
    after = record_codec.decode(effect.value)
    assert isinstance(
        account.on_read(after, 8, 3.0), account_effects.AccountReclaimed
    )
    return after


def test_finished_runs_are_billed_and_the_rest_is_freed(record):
    """Guards against a recovery that ignores finish entries."""
    after = reclaim(
        record,
        recovered_from(reserve("r1"), journal_entry.JournalFinish("r1", 30)),
    )
    budget = after.budgets["bud"]
    assert (budget.settled, budget.unbilled, budget.free) == (30, 0, 970)
    assert after.requests["r1"].tokens == 30


def test_run_that_was_settled_before_the_death_is_not_billed_again(record):
    """Guards against double billing from a journal older than the record."""
    settle = settlement_operations.SettleUsage(
        "bud", GRANT, "r1", "f", 30, run="r1"
    )
    settled = apply_to(record, settle).record
    entries = (reserve("r1"), journal_entry.JournalFinish("r1", 30))
    budget = reclaim(settled, recovered_from(*entries)).budgets["bud"]
    assert (budget.settled, budget.free) == (30, 970)


def test_open_runs_are_booked_with_the_tokens_that_the_engine_reports(record):
    """Guards against freeing tokens of runs whose end is not known.

    A run that the engine does not report is booked with its bound.
    """
    recovered = recovered_from(
        reserve("r1"), reserve("r2"), reported={"r1": 12}
    )
    budget = reclaim(record, recovered).budgets["bud"]
    assert (budget.settled, budget.unbilled, budget.free) == (0, 112, 888)


def test_transfer_to_a_dead_receiver_stays_reserved(record):
    """Guards against freeing transferred tokens, which would be spent twice."""
    after = reclaim(record, recovered_from(transfer(200)))
    assert after.budgets["bud"].free == 800
    convert = settlement_operations.ConvertTransfer(
        "bud", GRANT, f"{GRANT}/0", "x#9/1", "x#9", 200
    )
    applied = apply_to(after, convert, writer="x#9")
    assert applied.outcomes == (grant_outcomes.Granted(200),)


def test_transfer_that_a_live_router_holds_stays_reserved(record):
    """Guards against freeing tokens that a live router may be spending."""
    recovered = recovered_from(transfer(200, receiver=LIVE), sequence=0)
    assert reclaim(record, recovered).budgets["bud"].free == 800


def test_transfer_that_its_live_receiver_never_received_is_freed(record):
    """Guards against tokens that nobody can use any more."""
    recovered = recovered_from(transfer(200, receiver=LIVE))
    assert reclaim(record, recovered).budgets["bud"].free == 1000


def test_transfer_to_the_dead_router_pays_for_its_runs(record):
    """Guards against returning tokens of a transfer that runs have used.

    The dead router's runs used 700 tokens, 100 more than its own grant has.
    """
    grant = f"{LIVE}/1"
    with_live_grant = apply_to(
        record,
        grant_operations.AddGrant("bud", grant, LIVE, 300),
        writer=LIVE,
    ).record
    given = transfer(250, giver=LIVE, receiver=DEAD, grant=grant)
    after = reclaim(
        with_live_grant,
        recovered_from(given, reserve("r1", 800), reported={"r1": 700}),
    )
    budget = after.budgets["bud"]
    assert budget.grants[grant].tokens == 50
    assert (budget.unbilled, budget.free) == (700, 250)


def test_incomplete_state_frees_nothing(record):
    """Guards against freeing tokens whose only journal entry was lost."""
    entries = (reserve("r1"), journal_entry.JournalFinish("r1", 30))
    budget = reclaim(record, recovered_from(*entries, complete=False)).budgets[
        "bud"
    ]
    assert (budget.settled, budget.unbilled, budget.free) == (30, 570, 400)


def test_entries_of_another_budget_with_the_same_grant_id_do_not_count(record):
    """Guards against matching entries by grant id alone.

    Grant ids are unique within one budget only.
    """
    other = journal_entry.JournalReserve(
        "r1", "r1", "f", "acc", "other", GRANT, 100, "engine"
    )
    assert reclaim(record, recovered_from(other)).budgets["bud"].free == 1000


def test_claim_without_a_known_end_becomes_unknown(record):
    """Guards against a second run of a request that may run only once."""
    claim = claim_operations.Claim("k", "f", "bud", DEAD, "engine")
    claimed = apply_to(record, claim).record
    recovered = recovered_from(
        reserve("r1", key="k", claimed=True), reported={"r1": 5}
    )
    after = reclaim(claimed, recovered)
    assert after.requests["k"].state == "unknown"


def test_recovered_router_can_not_write_any_more(record):
    """Guards against a late settlement by an incarnation declared dead."""
    after = reclaim(record, recovered_from())
    settle = settlement_operations.SettleUsage("bud", GRANT, "r1", "f", 30)
    applied = transitions.apply_operations(
        after, [settle], writer=DEAD, sequence=99, now_wall_s=5.0
    )
    assert applied.rejection == "fenced"


def tokens_run_by_live_and_paused_router(record, reclaims):
    """Return the tokens that a paused holder and another router run.

    The holder checked its grant, was paused, and runs its 600 tokens
    afterwards. Meanwhile the other router runs what the record grants to it.

    Args:
        record: Account record before the pause.
        reclaims: Whether the holder's grant is reclaimed during the pause.
    """
    if reclaims:
        record = reclaim(record, recovered_from())
    grant = grant_operations.AddGrant("bud", "live#2/1", LIVE, 1000)
    after = apply_to(record, grant, writer=LIVE).record
    return 600 + after.budgets["bud"].grants["live#2/1"].tokens


def test_grant_of_a_paused_holder_is_not_spent_twice(record):
    """Guards against a reclaim after a timeout, which overspends the budget.

    The first assertion shows that such a reclaim would overspend; the second
    that the recovery manager does not reclaim within an hour of silence.
    """
    manager = recovery_manager.RecoveryManager(
        incarnation=LIVE, policy=recovery_policy.RecoveryPolicy()
    )
    seen = router_events.RoutersSeen({DEAD: frozenset()})
    effects = manager.handle(seen, 0.0) + manager.tick(3600.0)
    assert tokens_run_by_live_and_paused_router(record, True) > 1000
    assert tokens_run_by_live_and_paused_router(record, bool(effects)) <= 1000
