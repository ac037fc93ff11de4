"""Tests of the corrections after a home is gone."""

from __future__ import annotations

import pytest

from jasminetally._peers import node_identity
from jasminetally._prepaid import account_bound
from jasminetally._prepaid import pool_record
from jasminetally._prepaid import unreconciled_homes

TAKEN_S = 1_000.0


def identity(incarnation: str) -> node_identity.NodeIdentity:
    node, _, _ = incarnation.partition("#")
    return node_identity.NodeIdentity(node, incarnation, "", "", "", 1.0)


@pytest.fixture
def homes() -> unreconciled_homes.UnreconciledHomes:
    found = unreconciled_homes.UnreconciledHomes()
    bound = account_bound.AccountBound(100, 900, 200, 10)
    record = pool_record.PoolRecord(3, "a#1", 0.0, 50.0, {"acme": bound})
    found.add(record, TAKEN_S)
    return found


def test_end_of_a_home_is_accounted_for_once(homes):
    """Guards against the same tokens handed out twice."""
    (found,) = homes.on_later_run(identity("a#2"), 60.0)
    assert found.limit == 900
    assert 300 <= found.spent < 310
    assert homes.on_later_run(identity("a#3"), 70.0) == []
    assert not homes.on_return("acme", 3)


def test_return_of_a_home_is_accounted_for_once(homes):
    """Guards against a return and a later death that both count."""
    assert homes.on_return("acme", 3)
    assert not homes.on_return("acme", 3)
    assert homes.on_later_run(identity("a#2"), 60.0) == []


@pytest.mark.parametrize("incarnation", ["a#1", "b#2"])
def test_other_routers_say_nothing_of_its_end(homes, incarnation):
    """Guards against counting a live home as ended."""
    assert homes.on_later_run(identity(incarnation), 60.0) == []
    assert homes.on_return("acme", 3)


def test_return_of_another_epoch_does_not_count(homes):
    """Guards against a return that was delayed over two takeovers."""
    assert not homes.on_return("acme", 2)


def test_correction_is_expected_only_shortly_after_a_takeover(homes):
    """Guards against a 402 while the count is too high by a whole limit."""
    assert homes.expected("acme", TAKEN_S + 0.5)
    assert not homes.expected("other", TAKEN_S + 0.5)
    late_s = TAKEN_S + unreconciled_homes.EXPECTED_S
    assert not homes.expected("acme", late_s)


def test_nothing_is_expected_after_the_correction(homes):
    """Guards against callers sent back after the account is used up."""
    homes.on_later_run(identity("a#2"), 60.0)
    assert not homes.expected("acme", TAKEN_S + 0.5)
