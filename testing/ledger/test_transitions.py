"""Tests of single operations on an account record."""

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


def apply_to(record, *operations, writer="r1#1", sequence=None, wall_s=1000.0):
    if sequence is None:
        last = 0 if record is None else record.writers.get(writer, 0)
        sequence = last + 1
    return transitions.apply_operations(
        record, operations, writer=writer, sequence=sequence, now_wall_s=wall_s
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
def funded_record():
    """Return a record with 1000 tokens paid in and 400 granted to r1#1."""
    return apply_to(
        None,
        grant_operations.CreditTopUp("b", "t1", 1000),
        grant_operations.AddGrant("b", "g1", "r1#1", 400, isolated=40),
    ).record


def test_top_up_is_credited_once(funded_record):
    """Guards against crediting twice when a configuration is replayed."""
    result = apply_to(
        funded_record, grant_operations.CreditTopUp("b", "t1", 1000)
    )
    assert result.outcomes == (grant_outcomes.Unchanged(),)
    assert result.record.budgets["b"].free == 600


def test_write_with_an_old_sequence_is_rejected(funded_record):
    """Guards against applying a write twice after its reply was lost."""
    result = apply_to(funded_record, settle("k", 100), sequence=1)
    assert result.rejection == "already_applied"
    assert result.record is funded_record


def test_grant_is_partial_when_fewer_tokens_are_free(funded_record):
    """Guards against granting more tokens than were paid in."""
    result = apply_to(
        funded_record,
        grant_operations.AddGrant("b", "g2", "r2#1", 900, isolated=0),
    )
    assert result.outcomes == (grant_outcomes.Granted(600),)
    assert result.record.budgets["b"].free == 0


def test_key_is_billed_once(funded_record):
    """Guards against billing a retried request twice."""
    first = apply_to(funded_record, settle("k", 100))
    second = apply_to(first.record, settle("k", 120))
    budget = second.record.budgets["b"]
    assert first.outcomes == (settlement_outcomes.Billed(100),)
    assert isinstance(second.outcomes[0], settlement_outcomes.Duplicate)
    assert (budget.settled, budget.unbilled) == (100, 120)


def test_settlement_above_the_grant_is_an_error(funded_record):
    """Guards against charging one router's usage to the grant of another."""
    with pytest.raises(_errors.InvariantError):
        apply_to(funded_record, settle("k", 401))


def test_transfer_is_converted_once_and_its_id_dropped(funded_record):
    """Guards against converting a transfer twice.

    Ids below ``converted_below`` are no longer listed, but still count as
    converted.
    """
    record = funded_record
    for number in range(3):
        record = apply_to(record, convert(f"g1/{number}", 10)).record
    again = apply_to(record, convert("g1/1", 10))
    grant = again.record.budgets["b"].grants["g1"]
    assert again.outcomes == (grant_outcomes.Unchanged(),)
    assert (grant.tokens, grant.converted_transfers, grant.converted_below) == (
        370,
        {},
        3,
    )


def test_second_claim_is_rejected(funded_record):
    """Guards against running a request twice that may run at most once."""
    result = apply_to(funded_record, claim(), claim(incarnation="r2#1"))
    assert result.outcomes[0] == claim_outcomes.Claimed()
    assert result.outcomes[1].entry.incarnation == "r1#1"


def test_claim_with_another_body_is_a_mismatch(funded_record):
    """Guards against answering a request with the answer to another one."""
    result = apply_to(funded_record, claim(), claim(fingerprint="other"))
    assert isinstance(result.outcomes[1], claim_outcomes.FingerprintMismatch)


def test_only_the_claiming_router_releases_a_claim(funded_record):
    """Guards against releasing another router's claim during its run."""
    release = claim_operations.ReleaseClaim("k", "r2#1")
    result = apply_to(funded_record, claim(), release)
    assert "k" in result.record.requests
    own = dataclasses.replace(release, incarnation="r1#1")
    assert "k" not in apply_to(result.record, own).record.requests


def test_unknown_request_cannot_be_claimed_again(funded_record):
    """Guards against a second run of a request whose outcome is unknown."""
    unknown = claim_operations.MarkClaimUnknown("k", "r1#1")
    result = apply_to(funded_record, claim(), unknown, claim())
    entry = result.outcomes[2].entry
    assert entry.state == request_entry.UNKNOWN


def test_reclaimed_grant_rejects_late_settlement(funded_record):
    """Guards against charging a reclaimed grant.

    A settlement of the router that was declared dead may arrive late.
    """
    reclaim = recovery_operations.ReclaimGrant("b", "g1", unbilled=60)
    record = apply_to(funded_record, reclaim, writer="r2#1").record
    budget = record.budgets["b"]
    assert (budget.unbilled, budget.free, budget.grants) == (100, 900, {})
    assert apply_to(record, settle("k", 10), sequence=99).rejection == "fenced"
    late = apply_to(record, settle("k", 10), writer="r3#1")
    assert late.outcomes == (grant_outcomes.GrantClosed("g1"),)


def test_reclaim_skips_runs_that_are_in_the_record(funded_record):
    """Guards against billing a journal entry whose run was settled already."""
    settled = apply_to(funded_record, settle("k", 100, run="1")).record
    runs = (
        recovery_operations.BillableRun("k", "print", 100, run="1"),
        recovery_operations.BillableRun("k", "print", 30, run="2"),
        recovery_operations.BillableRun("m", "print", 50, run="3"),
    )
    reclaim = recovery_operations.ReclaimGrant("b", "g1", billable_runs=runs)
    budget = apply_to(settled, reclaim, writer="r2#1").record.budgets["b"]
    assert (budget.settled, budget.unbilled) == (150, 30 + 40)
    assert budget.free == 1000 - 150 - 70


def test_reclaim_keeps_pending_transfers_until_converted(funded_record):
    """Guards against freeing tokens that the receiver may have spent."""
    reclaim = recovery_operations.ReclaimGrant(
        "b",
        "g1",
        pending_transfers={
            "g1/0": pending_transfer.PendingTransfer("r2#1", 100),
            "g1/1": pending_transfer.PendingTransfer("r2#1", 50),
        },
    )
    record = apply_to(funded_record, reclaim, writer="r3#1").record
    grant = record.budgets["b"].grants["g1"]
    assert (grant.closed, grant.tokens) == (True, 150)
    wrong = apply_to(record, convert("g1/7", 100), writer="r2#1")
    assert wrong.outcomes == (grant_outcomes.GrantClosed("g1"),)
    for transfer, tokens in (("g1/0", 100), ("g1/1", 50)):
        record = apply_to(
            record, convert(transfer, tokens), writer="r2#1"
        ).record
    grants = record.budgets["b"].grants
    assert list(grants) == ["g2"]
    assert grants["g2"].tokens == 150


def test_grant_is_reclaimed_once(funded_record):
    """Guards against freeing the same tokens in two recoveries."""
    reclaim = recovery_operations.ReclaimGrant("b", "g1")
    record = apply_to(funded_record, reclaim, writer="r2#1").record
    again = apply_to(record, reclaim, writer="r3#1")
    assert again.outcomes == (grant_outcomes.GrantClosed("g1"),)


def test_prune_keeps_claims_for_a_day(funded_record):
    """Guards against dropping a claim while its caller may still retry."""
    record = apply_to(
        funded_record, claim("c"), settle("k", 1), wall_s=0.0
    ).record
    prune = cleanup_operations.PruneEntries(before_wall_s=1000.0)
    kept = apply_to(record, prune, wall_s=1900.0).record
    assert list(kept.requests) == ["c"]
    later = cleanup_operations.PruneEntries(before_wall_s=90_000.0)
    assert not apply_to(kept, later, wall_s=90_900.0).record.requests


def test_prune_limits_the_number_of_requests(funded_record, monkeypatch):
    """Guards against a record above the platform's limit for a value."""
    monkeypatch.setattr(recovery_transitions, "MAX_REQUEST_ENTRIES", 5)
    record = apply_to(
        funded_record, settle("old", 1, server="s"), wall_s=1.0
    ).record
    for number in range(9):
        record = apply_to(record, settle(f"k{number}", 1)).record
    pruned = apply_to(record, cleanup_operations.PruneEntries(0.0)).record
    assert len(pruned.requests) == 5
    assert "old" in pruned.requests


def test_drained_writer_is_dropped_only_without_grants(funded_record):
    """Guards against removing the sequence number of an active writer."""
    remove = cleanup_operations.RemoveWriter("r1#1")
    assert "r1#1" in apply_to(funded_record, remove).record.writers
    returned = grant_operations.ReturnTokens("b", "g1", 400, close=True)
    assert (
        "r1#1" not in apply_to(funded_record, returned, remove).record.writers
    )


def test_record_is_equal_after_encoding_and_decoding(funded_record):
    """Guards against fields that are lost in the encoding."""
    record = apply_to(funded_record, claim(), settle("m", 5)).record
    assert record_codec.decode(record_codec.encode(record)) == record


@pytest.mark.parametrize("value", [b"{}", b"[9,{},{},{}]", b'[1,{"a":"b"}]'])
def test_value_of_another_schema_is_rejected(value):
    """Guards against overwriting a record that this version can't decode."""
    with pytest.raises(_errors.InvariantError):
        record_codec.decode(value)


def test_operations_leave_the_given_record_unchanged(funded_record):
    """Guards against changing the confirmed record in a write that fails."""
    before = record_codec.encode(funded_record)
    apply_to(funded_record, claim(), settle("k", 5), convert("g1/0", 5))
    assert record_codec.encode(funded_record) == before
    assert funded_record.schema == account_record.SCHEMA
