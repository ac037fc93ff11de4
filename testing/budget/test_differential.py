"""Differential tests against a central account with one exact counter."""

from __future__ import annotations

import hypothesis
from hypothesis import strategies as st
import pytest

from jasminetally._budget import transfer_requests
from testing.budget import hypothesis_settings

REQUESTS = st.lists(
    st.tuples(st.integers(0, 3), st.integers(1, 2000), st.integers(1, 2000)),
    min_size=5,
    max_size=40,
)


class CentralAccount:
    """Reference model: one counter without delays."""

    def __init__(self, tokens):
        self.balance = tokens

    def run(self, bound, actual_tokens):
        """Charge the actual tokens if the balance covers the bound.

        Returns:
            Whether it does.
        """
        if self.balance < bound:
            return False
        self.balance -= min(bound, actual_tokens)
        return True


def test_decisions_equal_those_of_a_central_account(make_fleet):
    """Guards against refusals while other routers hold enough tokens."""
    compare_decisions(make_fleet)


def test_decisions_differ_without_transfers(make_fleet, monkeypatch):
    """Guards against inputs in which no router needs a transfer."""
    monkeypatch.setattr(
        transfer_requests.TransferRequests, "ask_next_peer", lambda *_: []
    )
    with pytest.raises(AssertionError):
        compare_decisions(make_fleet)


def compare_decisions(make_fleet):
    @hypothesis_settings.DETERMINISTIC
    @hypothesis.given(REQUESTS, st.integers(500, 15000))
    def compare(requests, tokens):
        fleet = make_fleet(4, run_s=0.1)
        fleet.top_up("b", tokens)
        fleet.advance(1.5)
        central = CentralAccount(tokens)
        for number, (router, bound, actual_tokens) in enumerate(requests):
            expected = central.run(bound, actual_tokens)
            found = fleet.submit(
                f"r{router}#1", "b", bound, actual_tokens, key_hash=f"k{number}"
            )
            fleet.advance(2.5)
            admitted = fleet.results[found] == "admitted"
            assert admitted == expected, (number, fleet.results[found])
        fleet.finish()
        entry = fleet.budgets()["b"]
        assert entry.free == central.balance

    compare()


def test_concurrent_requests_leave_the_balance_of_a_central_account(make_fleet):
    """Guards against tokens lost or created by concurrent requests."""

    @hypothesis_settings.DETERMINISTIC
    @hypothesis.given(REQUESTS, st.integers(500, 15000))
    def compare(requests, tokens):
        fleet = make_fleet(4, run_s=0.1)
        fleet.top_up("b", tokens)
        for number, (router, bound, actual_tokens) in enumerate(requests):
            name = f"r{router}#1"
            fleet.submit(name, "b", bound, actual_tokens, key_hash=f"k{number}")
            fleet.advance(0.01)
        fleet.advance(3.0)
        central = CentralAccount(tokens)
        for req in fleet.runs.values():
            if getattr(req, "finished", False):
                assert central.run(req.actual_tokens, req.actual_tokens)
        fleet.finish()
        assert fleet.budgets()["b"].free == central.balance

    compare()
