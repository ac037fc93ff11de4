"""Tests of single transitions of the account record."""

from __future__ import annotations

import dataclasses

import pytest

from jasminetally import _errors
from jasminetally._ledger import account_record
from jasminetally._ledger import claim_operations
from jasminetally._ledger import claim_outcomes
from jasminetally._ledger import cleanup_operations
from jasminetally._ledger import grant_operations
from jasminetally._ledger import grant_outcomes
from jasminetally._ledger import pending_transfer
from jasminetally._ledger import record_codec
from jasminetally._ledger import recovery_operations
from jasminetally._ledger import recovery_transitions
from jasminetally._ledger import request_entry
from jasminetally._ledger import settlement_operations
from jasminetally._ledger import settlement_outcomes
from jasminetally._ledger import transitions


def write(record, *changes, writer="r1#1", sequence=None, wall_s=1000.0):
    if sequence is None:
        last = 0 if record is None else record.writers.get(writer, 0)
        sequence = last + 1
    return transitions.apply_operations(
        record, changes, writer=writer, sequence=sequence, now_wall_s=wall_s
    )


def settle(key_hash, tokens, grant="g1", **options):
    return settlement_operations.SettleUsage(
        "b", grant, key_hash, "print", tokens, **options
    )


def claim(key_hash="k", fingerprint="print", incarnation="r1#1"):
    return claim_operations.Claim(
        key_hash, fingerprint, "b", incarnation, "engine-1"
    )


def convert(transfer, tokens, from_grant="g1"):
    return settlement_operations.ConvertTransfer(
        "b", from_grant, transfer, "g2", "r2#1", tokens
    )


@pytest.fixture
def funded():
    """Return a record with 1000 tokens paid in and 400 granted to r1#1."""
    return write(
        None,
        grant_operations.CreditTopUp("b", "t1", 1000),
        grant_operations.AddGrant("b", "g1", "r1#1", 400, isolated=40),
    ).record


def test_top_up_is_credited_once(funded):
    """Guards against crediting again after a configuration is replayed."""
    applied = write(funded, grant_operations.CreditTopUp("b", "t1", 1000))
    assert applied.outcomes == (grant_outcomes.Unchanged(),)
    assert applied.record.budgets["b"].free == 600


def test_write_with_an_old_sequence_is_rejected(funded):
    """Guards against repeating a write whose reply was lost."""
    applied = write(funded, settle("k", 100), sequence=1)
    assert applied.rejection == "already_applied"
    assert applied.record is funded


def test_grant_is_partial_when_less_is_free(funded):
    """Guards against granting tokens that nobody paid for."""
    applied = write(
        funded, grant_operations.AddGrant("b", "g2", "r2#1", 900, isolated=0)
    )
    assert applied.outcomes == (grant_outcomes.Granted(600),)
    assert applied.record.budgets["b"].free == 0


def test_key_is_billed_once(funded):
    """Guards against a second bill for a retried request."""
    first = write(funded, settle("k", 100))
    second = write(first.record, settle("k", 120))
    budget = second.record.budgets["b"]
    assert first.outcomes == (settlement_outcomes.Billed(100),)
    assert isinstance(second.outcomes[0], settlement_outcomes.Duplicate)
    assert (budget.settled, budget.unbilled) == (100, 120)


def test_settlement_above_the_grant_is_an_error(funded):
    """Guards against charging one router's usage to another's grant."""
    with pytest.raises(_errors.InvariantError):
        write(funded, settle("k", 401))


def test_transfer_converts_once_and_its_id_is_forgotten(funded):
    """Guards against a repeated conversion, also after ids are dropped."""
    record = funded
    for number in range(3):
        record = write(record, convert(f"g1/{number}", 10)).record
    again = write(record, convert("g1/1", 10))
    grant = again.record.budgets["b"].grants["g1"]
    assert again.outcomes == (grant_outcomes.Unchanged(),)
    assert (grant.tokens, grant.converted_transfers, grant.converted_below) == (
        370,
        {},
        3,
    )


def test_second_claim_is_refused(funded):
    """Guards against running a request twice that may run once."""
    applied = write(funded, claim(), claim(incarnation="r2#1"))
    assert applied.outcomes[0] == claim_outcomes.Claimed()
    assert applied.outcomes[1].entry.incarnation == "r1#1"


def test_claim_with_another_body_is_a_mismatch(funded):
    """Guards against answering a request with another request's answer."""
    applied = write(funded, claim(), claim(fingerprint="other"))
    assert isinstance(applied.outcomes[1], claim_outcomes.FingerprintMismatch)


def test_only_the_claiming_router_releases(funded):
    """Guards against freeing a claim that another router is running."""
    release = claim_operations.ReleaseClaim("k", "r2#1")
    applied = write(funded, claim(), release)
    assert "k" in applied.record.requests
    own = dataclasses.replace(release, incarnation="r1#1")
    assert "k" not in write(applied.record, own).record.requests


def test_unknown_request_stays_claimed(funded):
    """Guards against running a request again whose outcome is unknown."""
    unknown = claim_operations.MarkClaimUnknown("k", "r1#1")
    applied = write(funded, claim(), unknown, claim())
    entry = applied.outcomes[2].entry
    assert entry.state == request_entry.UNKNOWN


def test_reclaimed_grant_rejects_late_settlement(funded):
    """Guards against a dead router that comes back and charges its grant."""
    reclaim = recovery_operations.ReclaimGrant("b", "g1", unbilled=60)
    record = write(funded, reclaim, writer="r2#1").record
    budget = record.budgets["b"]
    assert (budget.unbilled, budget.free, budget.grants) == (100, 900, {})
    assert write(record, settle("k", 10), sequence=99).rejection == "fenced"
    late = write(record, settle("k", 10), writer="r3#1")
    assert late.outcomes == (grant_outcomes.GrantClosed("g1"),)


def test_reclaim_skips_runs_that_are_in_the_record(funded):
    """Guards against billing a journal entry that was settled already."""
    settled = write(funded, settle("k", 100, run="1")).record
    runs = (
        recovery_operations.BillableRun("k", "print", 100, run="1"),
        recovery_operations.BillableRun("k", "print", 30, run="2"),
        recovery_operations.BillableRun("m", "print", 50, run="3"),
    )
    reclaim = recovery_operations.ReclaimGrant("b", "g1", billable_runs=runs)
    budget = write(settled, reclaim, writer="r2#1").record.budgets["b"]
    assert (budget.settled, budget.unbilled) == (150, 30 + 40)
    assert budget.free == 1000 - 150 - 70


def test_reclaim_keeps_given_transfers_until_converted(funded):
    """Guards against freeing tokens that a peer is spending."""
    reclaim = recovery_operations.ReclaimGrant(
        "b",
        "g1",
        pending_transfers={
            "g1/0": pending_transfer.PendingTransfer("r2#1", 100),
            "g1/1": pending_transfer.PendingTransfer("r2#1", 50),
        },
    )
    record = write(funded, reclaim, writer="r3#1").record
    grant = record.budgets["b"].grants["g1"]
    assert (grant.closed, grant.tokens) == (True, 150)
    wrong = write(record, convert("g1/7", 100), writer="r2#1")
    assert wrong.outcomes == (grant_outcomes.GrantClosed("g1"),)
    for transfer, tokens in (("g1/0", 100), ("g1/1", 50)):
        record = write(record, convert(transfer, tokens), writer="r2#1").record
    grants = record.budgets["b"].grants
    assert list(grants) == ["g2"]
    assert grants["g2"].tokens == 150


def test_reclaim_happens_once(funded):
    """Guards against two recoveries that free the same tokens."""
    reclaim = recovery_operations.ReclaimGrant("b", "g1")
    record = write(funded, reclaim, writer="r2#1").record
    again = write(record, reclaim, writer="r3#1")
    assert again.outcomes == (grant_outcomes.GrantClosed("g1"),)


def test_prune_keeps_claims_for_a_day(funded):
    """Guards against forgetting a claim while its caller still retries."""
    record = write(funded, claim("c"), settle("k", 1), wall_s=0.0).record
    prune = cleanup_operations.PruneEntries(before_wall_s=1000.0)
    kept = write(record, prune, wall_s=1900.0).record
    assert list(kept.requests) == ["c"]
    later = cleanup_operations.PruneEntries(before_wall_s=90_000.0)
    assert not write(kept, later, wall_s=90_900.0).record.requests


def test_prune_limits_the_number_of_requests(funded, monkeypatch):
    """Guards against a record that outgrows the platform's value limit."""
    monkeypatch.setattr(recovery_transitions, "MAX_REQUEST_ENTRIES", 5)
    record = write(funded, settle("old", 1, server="s"), wall_s=1.0).record
    for number in range(9):
        record = write(record, settle(f"k{number}", 1)).record
    pruned = write(record, cleanup_operations.PruneEntries(0.0)).record
    assert len(pruned.requests) == 5
    assert "old" in pruned.requests


def test_drained_writer_is_dropped_only_without_grants(funded):
    """Guards against losing the sequence number of an active writer."""
    retire = cleanup_operations.RemoveWriter("r1#1")
    assert "r1#1" in write(funded, retire).record.writers
    returned = grant_operations.ReturnTokens("b", "g1", 400, close=True)
    assert "r1#1" not in write(funded, returned, retire).record.writers


def test_record_survives_encoding(funded):
    """Guards against fields lost on the way through the platform."""
    record = write(funded, claim(), settle("m", 5)).record
    assert record_codec.decode(record_codec.encode(record)) == record


@pytest.mark.parametrize("value", [b"{}", b"[9,{},{},{}]", b'[1,{"a":"b"}]'])
def test_foreign_value_is_refused(value):
    """Guards against overwriting a record of a newer version."""
    with pytest.raises(_errors.InvariantError):
        record_codec.decode(value)


def test_transition_leaves_the_given_record_unchanged(funded):
    """Guards against a failed write that changes the confirmed record."""
    before = record_codec.encode(funded)
    write(funded, claim(), settle("k", 5), convert("g1/0", 5))
    assert record_codec.encode(funded) == before
    assert funded.schema == account_record.SCHEMA
