"""Tests of the ceilings that a router holds for owners of shards."""

from __future__ import annotations

from jasminetally._prepaid import ceiling_quorum
from jasminetally._prepaid import witnessed_ceilings


def make_vector(number, ceiling=100):
    return ceiling_quorum.CeilingVector(number, {"acme": ceiling})


def test_newest_vector_is_held_in_any_order_of_arrival():
    """Guards against an old message that lowers a ceiling."""
    held = witnessed_ceilings.WitnessedCeilings()
    assert held.store_vector(0, 1, make_vector(2, 200))
    assert held.store_vector(0, 1, make_vector(1, 100))
    assert held.close_epoch(0, 1) == make_vector(2, 200)


def test_closed_epoch_accepts_no_more_ceilings():
    """Guards against a replaced owner that goes on handing out tokens."""
    held = witnessed_ceilings.WitnessedCeilings()
    held.store_vector(0, 3, make_vector(1))
    held.close_epoch(0, 3)
    assert not held.store_vector(0, 3, make_vector(2, 900))
    assert held.store_vector(0, 4, make_vector(1, 500))
    assert held.close_epoch(0, 3) == make_vector(1)


def test_epoch_without_ceilings_is_closed_too():
    """Guards against ceilings that arrive after the successor has asked."""
    held = witnessed_ceilings.WitnessedCeilings()
    assert held.close_epoch(0, 3) == ceiling_quorum.CeilingVector(0, {})
    assert not held.store_vector(0, 3, make_vector(1))


def test_dropped_epoch_is_not_taken_for_one_without_ceilings():
    """Guards against spent tokens that are credited to a new owner."""
    held = witnessed_ceilings.WitnessedCeilings()
    for epoch in range(1, 5):
        assert held.store_vector(0, epoch, make_vector(1))
    assert held.close_epoch(0, 1) is None
    assert not held.store_vector(0, 2, make_vector(2))
    assert held.close_epoch(0, 3) == make_vector(1)
