"""Tests of what recovery does to an account record."""

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


def change(record, *changes, writer=DEAD):
    sequence = 1
    if record is not None:
        sequence += max(record.writers.get(writer, 0), 0)
    return transitions.apply_operations(
        record, changes, writer=writer, sequence=sequence, now_wall_s=1.0
    )


@pytest.fixture
def record():
    """A budget of 1000 tokens, 600 of them granted to the dead router."""
    return change(
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


def findings(*entries, sequence=1, complete=True, ran=None):
    export = tuple((sequence, journal_codec.encode(each)) for each in entries)
    return recovered_state.merge_exports(DEAD, [export])._replace(
        complete=complete,
        responders=frozenset({LIVE}),
        reported_tokens=ran or {},
    )


def recover(record, found):
    case = account_reclaim.AccountReclaim(
        found, account="acc", incarnation="recoverer#5"
    )
    effect = case.on_read(record, 7, 2.0)
    assert isinstance(effect, account_effects.WriteAccount)
    after = record_codec.decode(effect.value)
    assert isinstance(
        case.on_read(after, 8, 3.0), account_effects.AccountReclaimed
    )
    return after


def test_finished_runs_are_billed_and_the_rest_is_freed(record):
    """Guards against a recovery that forgets finished entries."""
    after = recover(
        record, findings(reserve("r1"), journal_entry.JournalFinish("r1", 30))
    )
    budget = after.budgets["bud"]
    assert (budget.settled, budget.unbilled, budget.free) == (30, 0, 970)
    assert after.requests["r1"].tokens == 30


def test_run_that_was_settled_before_the_death_is_not_billed_again(record):
    """Guards against a journal that is older than the record."""
    settle = settlement_operations.SettleUsage(
        "bud", GRANT, "r1", "f", 30, run="r1"
    )
    settled = change(record, settle).record
    entries = (reserve("r1"), journal_entry.JournalFinish("r1", 30))
    budget = recover(settled, findings(*entries)).budgets["bud"]
    assert (budget.settled, budget.free) == (30, 970)


def test_open_runs_are_booked_with_what_the_engine_knows(record):
    """Guards against tokens that ran and are freed."""
    found = findings(reserve("r1"), reserve("r2"), ran={"r1": 12})
    budget = recover(record, found).budgets["bud"]
    assert (budget.settled, budget.unbilled, budget.free) == (0, 112, 888)


def test_transfer_to_a_dead_receiver_stays_reserved(record):
    """Guards against freeing transferred tokens, which would be spent twice."""
    after = recover(record, findings(transfer(200)))
    assert after.budgets["bud"].free == 800
    convert = settlement_operations.ConvertTransfer(
        "bud", GRANT, f"{GRANT}/0", "x#9/1", "x#9", 200
    )
    applied = change(after, convert, writer="x#9")
    assert applied.outcomes == (grant_outcomes.Granted(200),)


def test_transfer_that_a_live_router_holds_stays_reserved(record):
    """Guards against freeing tokens that a live router may be spending."""
    found = findings(transfer(200, receiver=LIVE), sequence=0)
    assert recover(record, found).budgets["bud"].free == 800


def test_transfer_that_its_live_receiver_never_got_is_freed(record):
    """Guards against tokens that nobody can use any more."""
    found = findings(transfer(200, receiver=LIVE))
    assert recover(record, found).budgets["bud"].free == 1000


def test_transfer_to_the_dead_router_pays_for_its_runs(record):
    """Guards against tokens that ran from a transfer and are given back."""
    grant = f"{LIVE}/1"
    given = change(
        record,
        grant_operations.AddGrant("bud", grant, LIVE, 300),
        writer=LIVE,
    ).record
    note = transfer(250, giver=LIVE, receiver=DEAD, grant=grant)
    after = recover(given, findings(note, reserve("r1", 800), ran={"r1": 700}))
    budget = after.budgets["bud"]
    assert budget.grants[grant].tokens == 50
    assert (budget.unbilled, budget.free) == (700, 250)


def test_incomplete_findings_free_nothing(record):
    """Guards against freeing tokens whose only journal entry was lost."""
    entries = (reserve("r1"), journal_entry.JournalFinish("r1", 30))
    budget = recover(record, findings(*entries, complete=False)).budgets["bud"]
    assert (budget.settled, budget.unbilled, budget.free) == (30, 570, 400)


def test_entries_of_another_budget_with_the_same_grant_id_do_not_count(record):
    """Guards against grant ids taken for unique; they are so in a budget."""
    other = journal_entry.JournalReserve(
        "r1", "r1", "f", "acc", "other", GRANT, 100, "engine"
    )
    assert recover(record, findings(other)).budgets["bud"].free == 1000


def test_claim_without_a_known_end_stays_unknown(record):
    """Guards against a second run of a request that may run once."""
    claim = claim_operations.Claim("k", "f", "bud", DEAD, "engine")
    claimed = change(record, claim).record
    found = findings(reserve("r1", key="k", claimed=True), ran={"r1": 5})
    after = recover(claimed, found)
    assert after.requests["k"].state == "unknown"


def test_recovered_router_can_not_write_any_more(record):
    """Guards against a late settlement by an incarnation declared dead."""
    after = recover(record, findings())
    settle = settlement_operations.SettleUsage("bud", GRANT, "r1", "f", 30)
    applied = transitions.apply_operations(
        after, [settle], writer=DEAD, sequence=99, now_wall_s=5.0
    )
    assert applied.rejection == "fenced"


def tokens_run_after_a_pause(record, reclaims):
    """Run what the record allows to another router and to a paused holder.

    The holder checked its grant, was paused, and runs 600 tokens afterwards.
    """
    if reclaims:
        record = recover(record, findings())
    grant = grant_operations.AddGrant("bud", "live#2/1", LIVE, 1000)
    after = change(record, grant, writer=LIVE).record
    return 600 + after.budgets["bud"].grants["live#2/1"].tokens


def test_paused_holder_spends_its_grant_only_once(record):
    """Guards against a reclaim by time; the naive version overspends."""
    manager = recovery_manager.RecoveryManager(
        incarnation=LIVE, policy=recovery_policy.RecoveryPolicy()
    )
    seen = router_events.RoutersSeen({DEAD: frozenset()})
    effects = manager.handle(seen, 0.0) + manager.tick(3600.0)
    assert tokens_run_after_a_pause(record, True) > 1000
    assert tokens_run_after_a_pause(record, bool(effects)) <= 1000
