"""Tests of limits on requests that servers name."""

from __future__ import annotations

import itertools

import pytest

from jasminetally._placing import limit_divider
from jasminetally._placing import request_limit


@pytest.fixture
def limit() -> request_limit.RequestLimit:
    """Return a limit that was named at second 10 and leaves no request."""
    result = request_limit.RequestLimit()
    result.on_response(2.0, sent_s=9.0, now_s=10.0)
    result.set_share(limit_divider.LimitShare(2.0, 1.0), 10.0)
    return result


def test_limit_ends_with_a_response_that_names_none(limit):
    """Guards against a server that stays limited after its need has ended."""
    assert limit.wait_s(10.0) > 0
    assert limit.on_response(None, sent_s=10.5, now_s=10.6)
    assert limit.wait_s(10.6) == 0


def test_late_response_without_a_limit_does_not_end_it(limit):
    """Guards against a limit that a response from before it takes away."""
    assert not limit.on_response(None, sent_s=9.5, now_s=10.1)
    assert limit.limit_per_s == 2.0


def test_limit_of_zero_still_lets_the_server_be_asked(limit):
    """Guards against a server that can never say that it takes requests."""
    limit.on_response(0.0, sent_s=11.0, now_s=11.0)
    assert limit.limit_per_s == request_limit.MIN_LIMIT_PER_S


def test_reports_in_any_order_give_the_last_change():
    """Guards against an old report that brings an ended limit back."""
    reports = [(1, 2.0), (2, None), (2, 3.0), (3, 1.0), (4, None), (4, None)]
    for order in itertools.permutations(reports):
        merged = request_limit.RequestLimit()
        for number, limit_per_s in order:
            merged.merge(number, limit_per_s, 0.0)
        assert (merged.number, merged.limit_per_s) == (4, None)


def test_outdated_report_is_answered_with_the_last_change(limit):
    """Guards against a router that never learns of the end of a limit."""
    limit.on_response(None, sent_s=11.0, now_s=11.0)
    assert limit.spread_s == 11.0
    limit.merge(1, 2.0, 90.0)
    assert limit.spread_s == 90.0
