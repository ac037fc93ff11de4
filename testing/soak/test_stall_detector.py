"""Tests of the detection of stalls."""

from __future__ import annotations

from testing.soak import fault_periods as fault_periods_lib
from testing.soak import rule as rule_lib
from testing.soak import stall_detector


def test_only_long_gaps_between_checks_are_faults():
    """Guards against violations blamed on routers that could not run.

    And against a slow machine that excuses everything.
    """
    fault_periods = fault_periods_lib.FaultPeriods()
    stalls = stall_detector.StallDetector(fault_periods)
    for now_s in (0.0, 0.05, 0.9, 1.8, 2.7):
        stalls.on_check(now_s)
    for rule in rule_lib.Rule:
        assert fault_periods.applies(rule, 0.0, 3.0)
    stalls.on_check(3.7)
    for rule in rule_lib.Rule:
        assert not fault_periods.applies(rule, 3.0, 3.0)
        assert fault_periods.applies(rule, 0.0, 2.6)
