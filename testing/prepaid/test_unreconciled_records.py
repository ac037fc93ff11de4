"""Tests of the corrections after an owner has ended or was replaced."""

from __future__ import annotations

import pytest

from jasminetally._peers import node_identity
from jasminetally._prepaid import account_bound
from jasminetally._prepaid import pool_record
from jasminetally._prepaid import unreconciled_records

TAKEOVER_S = 1_000.0


def identity(incarnation: str) -> node_identity.NodeIdentity:
    node, _, _ = incarnation.partition("#")
    return node_identity.NodeIdentity(node, incarnation, "", "", "", 1.0)


@pytest.fixture
def records() -> unreconciled_records.UnreconciledRecords:
    records = unreconciled_records.UnreconciledRecords()
    bound = account_bound.AccountBound(100, 900, 200, 10)
    record = pool_record.PoolRecord(3, "a#1", 0.0, 50.0, {"acme": bound})
    records.add(record, TAKEOVER_S)
    return records


def test_ended_owner_is_reconciled_once(records):
    """Guards against handing out the same tokens twice."""
    (correction,) = records.on_restart(identity("a#2"), 60.0)
    assert correction.limit == 900
    assert 300 <= correction.spent < 310
    assert records.on_restart(identity("a#3"), 70.0) == []
    assert not records.on_tokens_returned("acme", 3)


def test_return_of_unspent_tokens_is_credited_once(records):
    """Guards against crediting a return and then a later restart as well."""
    assert records.on_tokens_returned("acme", 3)
    assert not records.on_tokens_returned("acme", 3)
    assert records.on_restart(identity("a#2"), 60.0) == []


@pytest.mark.parametrize("incarnation", ["a#1", "b#2"])
def test_owner_and_other_routers_do_not_mark_it_as_ended(records, incarnation):
    """Guards against treating a live owner as ended."""
    assert records.on_restart(identity(incarnation), 60.0) == []
    assert records.on_tokens_returned("acme", 3)


def test_return_of_another_epoch_is_not_credited(records):
    """Guards against a return that was delayed beyond a second takeover."""
    assert not records.on_tokens_returned("acme", 2)


def test_correction_is_expected_only_shortly_after_a_takeover(records):
    """Guards against a 402 while the count is too high by a whole limit."""
    assert records.correction_expected("acme", TAKEOVER_S + 0.5)
    assert not records.correction_expected("other", TAKEOVER_S + 0.5)
    late_s = TAKEOVER_S + unreconciled_records.CORRECTION_WINDOW_S
    assert not records.correction_expected("acme", late_s)


def test_no_correction_is_expected_after_it_was_applied(records):
    """Guards against asking callers to retry when the account is used up."""
    records.on_restart(identity("a#2"), 60.0)
    assert not records.correction_expected("acme", TAKEOVER_S + 0.5)
