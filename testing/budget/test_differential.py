"""Comparison with a central account that has one exact counter."""

from __future__ import annotations

import hypothesis
from hypothesis import strategies as st
import pytest

from jasminetally._budget import transfer_requests
from testing.budget import fixed_settings

REQUESTS = st.lists(
    st.tuples(st.integers(0, 3), st.integers(1, 2000), st.integers(1, 2000)),
    min_size=5,
    max_size=40,
)


class CentralAccount:
    """One counter without delays."""

    def __init__(self, tokens):
        self.balance = tokens

    def run(self, bound, actual):
        """Return whether the bound fits; charge the actual tokens."""
        if self.balance < bound:
            return False
        self.balance -= min(bound, actual)
        return True


def test_decisions_equal_those_of_a_central_account(make_fleet):
    """Guards against refusals by one router while others hold the tokens."""
    compare_decisions(make_fleet)


def test_decisions_differ_without_transfers(make_fleet, monkeypatch):
    """Guards against a comparison in which no router runs out of tokens."""
    monkeypatch.setattr(
        transfer_requests.TransferRequests, "ask_next_peer", lambda *_: []
    )
    with pytest.raises(AssertionError):
        compare_decisions(make_fleet)


def compare_decisions(make_fleet):
    @fixed_settings.FIXED
    @hypothesis.given(REQUESTS, st.integers(500, 15000))
    def compare(requests, tokens):
        fleet = make_fleet(4, run_s=0.1)
        fleet.top_up("b", tokens)
        fleet.advance(1.5)
        central = CentralAccount(tokens)
        for number, (router, bound, actual) in enumerate(requests):
            expected = central.run(bound, actual)
            found = fleet.submit(
                f"r{router}#1", "b", bound, actual, key_hash=f"k{number}"
            )
            fleet.advance(2.5)
            admitted = fleet.results[found] == "admitted"
            assert admitted == expected, (number, fleet.results[found])
        fleet.finish()
        entry = fleet.budgets()["b"]
        assert entry.free == central.balance

    compare()


def test_concurrent_requests_leave_the_books_of_a_central_account(make_fleet):
    """Guards against tokens lost or made between routers that race."""

    @fixed_settings.FIXED
    @hypothesis.given(REQUESTS, st.integers(500, 15000))
    def compare(requests, tokens):
        fleet = make_fleet(4, run_s=0.1)
        fleet.top_up("b", tokens)
        for number, (router, bound, actual) in enumerate(requests):
            name = f"r{router}#1"
            fleet.submit(name, "b", bound, actual, key_hash=f"k{number}")
            fleet.advance(0.01)
        fleet.advance(3.0)
        central = CentralAccount(tokens)
        for req in fleet.runs.values():
            if getattr(req, "finished", False):
                assert central.run(req.actual, req.actual)
        fleet.finish()
        assert fleet.budgets()["b"].free == central.balance

    compare()
