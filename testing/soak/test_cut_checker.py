"""Tests of the check of routers that are cut off from all servers."""

from __future__ import annotations

import pytest

from testing.soak import cut_checker
from testing.soak import sent_request

CUT = cut_checker.Cut(frozenset({"router-0"}), 100.0, 110.0)
COUNTED_S = CUT.start_s + cut_checker.CONTACT_S


def send(checker, router: str, count: int, served: int, sent_s=COUNTED_S):
    """Record requests of which the first ones are served."""
    for number in range(count):
        sent = sent_request.SentRequest(
            "id", "/flip/", b"b", "large", False, 0, sent_s, router
        )
        checker.on_end(sent, served=number < served)


@pytest.mark.parametrize(
    ("served", "found"), [(0, True), (19, True), (20, False), (30, False)]
)
def test_router_that_serves_too_little_in_a_cut_is_found(served, found):
    """Guards against a check that misses callers of a router cut off."""
    checker = cut_checker.CutChecker()
    checker.on_cut(CUT)
    send(checker, "router-0#1", 30, served)
    send(checker, "router-1#2", 30, 30)
    assert checker.chances() == 1
    assert bool(checker.find_violations()) == found


def test_requests_before_the_rule_binds_do_not_count():
    """Guards against violations in the time that a router has to notice."""
    checker = cut_checker.CutChecker()
    checker.on_cut(CUT)
    send(checker, "router-0#1", 30, 0, CUT.start_s + 1.0)
    send(checker, "router-1#1", 30, 30, CUT.start_s + 1.0)
    assert checker.chances() == 0
    assert checker.find_violations() == []


def test_service_that_fails_everywhere_is_no_violation_of_this_rule():
    """Guards against routers blamed for servers that serve nobody."""
    checker = cut_checker.CutChecker()
    checker.on_cut(CUT)
    send(checker, "router-0#1", 30, 0)
    send(checker, "router-1#1", 30, 0)
    assert checker.find_violations() == []
