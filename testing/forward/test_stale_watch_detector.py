"""Tests of the detection of a silent watch from other routers' reports."""

from __future__ import annotations

import pytest

from jasminetally._forward import stale_watch_detector

LATE_S = stale_watch_detector.MISMATCH_S


@pytest.fixture
def detector() -> stale_watch_detector.StaleWatchDetector:
    return stale_watch_detector.StaleWatchDetector()


def test_difference_that_lasts_restarts_the_watch_once(detector):
    """Guards against silent watches, and against calls to the store for each.

    Where the other router is the one that is behind, a restart changes
    nothing, and no more should follow.
    """
    assert not detector.on_report("a", 1, 2, 0.0)
    assert not detector.on_report("a", 1, 2, LATE_S / 2)
    assert detector.on_report("a", 1, 2, LATE_S)
    assert not detector.on_report("a", 1, 2, 10.0)
    assert not detector.on_report("b", 1, 2, 10.0)
    assert not detector.on_report("b", 1, 2, 11.0)


def test_next_change_restarts_the_watch_again(detector):
    """Guards against a watch that is restarted for the first silence only."""
    detector.on_report("a", 1, 2, 0.0)
    assert detector.on_report("a", 1, 2, LATE_S)
    assert not detector.on_report("a", 2, 2, LATE_S + 1)
    assert not detector.on_report("a", 2, 3, LATE_S + 2)
    assert detector.on_report("a", 2, 3, 2 * LATE_S + 2)


def test_changes_under_way_do_not_restart_the_watch(detector):
    """Guards against calls to the store for each change of many servers."""
    for step in range(100):
        assert not detector.on_report("a", step, step + 1, step * LATE_S / 2)
