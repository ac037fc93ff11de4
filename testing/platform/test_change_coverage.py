"""Tests of how far a router knows that it has heard of all changes."""

from __future__ import annotations

from jasminetally._platform import change_coverage


def test_answers_count_from_when_they_were_asked_for():
    """Guards against an answer that is read long after it was sent."""
    coverage = change_coverage.ChangeCoverage()
    assert not coverage.is_current(0.0)
    coverage.on_heard(10.0)
    assert coverage.is_current(10.0 + change_coverage.MAX_AGE_S)
    assert not coverage.is_current(10.1 + change_coverage.MAX_AGE_S)
    coverage.on_heard(9.0)
    assert coverage.is_current(10.0 + change_coverage.MAX_AGE_S)


def test_gap_is_reported():
    """Guards against versions that came and went unheard."""
    gaps = []
    coverage = change_coverage.ChangeCoverage()
    coverage.add_gap_callback(lambda: gaps.append(1))
    coverage.on_heard(1.0)
    assert not gaps
    coverage.on_gap()
    assert gaps == [1]
