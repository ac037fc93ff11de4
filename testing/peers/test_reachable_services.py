"""Tests of the routers for callers by the services that they reach."""

from __future__ import annotations

import pytest

from jasminetally._peers import reachable_services


@pytest.mark.parametrize(
    ("unreachable", "expected"),
    [
        # Some routers are cut off from all servers.
        ({"a": "xy", "b": "xy", "c": "", "d": "", "e": ""}, "cde"),
        # One of them reaches the servers of one service.
        ({"a": "x", "b": "", "c": ""}, "bc"),
        # The servers of a service have failed for all.
        ({"a": "x", "b": "x", "c": "x"}, "abc"),
        # They have failed, and a router is cut off from the others too.
        ({"a": "xy", "b": "x", "c": "x"}, "bc"),
        # Two routers lack different services.
        ({"a": "x", "b": "y", "c": "", "d": ""}, "cd"),
        ({"a": "x", "b": "y"}, "ab"),
        ({"a": "xy"}, "a"),
        ({}, ""),
    ],
)
def test_callers_get_the_routers_that_reach_what_any_reaches(
    unreachable, expected
):
    """Guards against callers sent to routers that are cut off, or to none."""
    services = {node: frozenset(lost) for node, lost in unreachable.items()}
    assert reachable_services.select_reaching(services) == list(expected)


def test_few_routers_that_have_not_noticed_yet_do_not_get_all_callers():
    """Guards against a crash of all servers that overloads some routers."""
    services = {f"n{n}": frozenset("x") for n in range(6)}
    services |= {"n6": frozenset(), "n7": frozenset()}
    assert len(reachable_services.select_reaching(services)) == 8
