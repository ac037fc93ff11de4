"""Tests of the safety margin on predicted run times."""

from __future__ import annotations

import random

import pytest

from jasminetally._routing import run_margin


@pytest.mark.parametrize("spread", [0.1, 0.4])
def test_few_runs_exceed_the_margin(spread):
    """Guards against a margin that many runs exceed, such as a mean."""
    rng = random.Random(5)
    margin = run_margin.RunMargin()
    exceeded = 0
    for number in range(6000):
        observed_s = 10.0 * rng.gauss(1.0, spread)
        if number >= 1000:
            exceeded += observed_s > margin.upper_bound_s("live", 10.0)
        margin.observe_run("live", predicted_s=10.0, observed_s=observed_s)
    assert exceeded < 0.05 * 5000


def test_margin_returns_after_a_disturbance():
    """Guards against refusals long after a single slow run."""
    margin = run_margin.RunMargin()
    margin.observe_run("live", predicted_s=1.0, observed_s=9.0)
    margin.observe_first_chunk("live", 9.0)
    raised_s = margin.upper_bound_s("live", 1.0)
    for _ in range(1000):
        margin.observe_run("live", predicted_s=1.0, observed_s=0.7)
        margin.observe_first_chunk("live", 0.0)
    assert margin.upper_bound_s("live", 1.0) < 0.5 * raised_s


def test_tiers_have_margins_of_their_own():
    """Guards against live refusals caused by slow overnight requests."""
    margin = run_margin.RunMargin()
    before_s = margin.upper_bound_s("live", 1.0)
    margin.observe_run("overnight", predicted_s=1.0, observed_s=2.0)
    margin.observe_first_chunk("overnight", 3.0)
    assert margin.upper_bound_s("live", 1.0) == before_s
