"""Tests of the time of day on which the routers agree."""

from __future__ import annotations

from jasminetally._peers import fleet_clock


def test_minority_of_wrong_clocks_does_not_affect_the_estimate():
    """Guards against prepaid tokens handed out twice after a clock has jumped.

    The time at which a previous owner of a shard ended bounds the tokens that
    it may have handed out; a wrong time of day shortens that bound.
    """
    clock = fleet_clock.FleetClock()
    for node, error_s in (
        ("a", 0.0),
        ("b", 2.4),
        ("c", 0.01),
        ("d", -0.01),
        ("e", -7.0),
    ):
        clock.add_reading(node, 5_000.0 + error_s, 100.0)
    assert abs(clock.time_of_day_at(100.0) - 5_000.0) < 0.02
    assert abs(clock.time_of_day_at(101.0) - 5_001.0) < 0.02


def test_two_clocks_are_not_enough():
    """Guards against a choice between two clocks of which one is wrong."""
    clock = fleet_clock.FleetClock()
    clock.add_reading("a", 5_000.0, 100.0)
    clock.add_reading("b", 5_002.0, 100.0)
    assert clock.time_of_day_at(100.0) is None


def test_old_readings_are_ignored():
    """Guards against an estimate from clocks of routers that have ended."""
    clock = fleet_clock.FleetClock()
    for node in "abc":
        clock.add_reading(node, 5_000.0, 100.0)
    assert (
        clock.time_of_day_at(100.0 + fleet_clock.READING_MAX_AGE_S + 0.1)
        is None
    )
