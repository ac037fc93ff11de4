"""Tests of the reservation of prepaid tokens."""

from __future__ import annotations

import asyncio

import pytest

from jasminetally._peers import node_identity
from jasminetally._peers import peer_messages
from jasminetally._prepaid import prepaid_service


class FakeFleet:
    """Another router that is the home of everything, and slow to answer."""

    def __init__(self) -> None:
        self.own = node_identity.NodeIdentity("a", "a#1", "", "", "", 1.0)
        self.returned: dict[str, int] = {}
        self.during_call = lambda: None

    def home_of(self, shard: int, now_s: float) -> str:
        """Return the other router."""
        del shard, now_s
        return "b#1"

    async def call(self, incarnation, message, *, timeout_s):
        """Take tokens back."""
        del incarnation, timeout_s
        await asyncio.sleep(0)
        self.during_call()
        assert isinstance(message, peer_messages.ReturnTokens)
        self.returned[message.account] = message.tokens
        return peer_messages.Done()


@pytest.fixture
def fleet() -> FakeFleet:
    return FakeFleet()


@pytest.fixture
def service(fleet, log):
    found = prepaid_service.PrepaidService(fleet, None, log)
    found._prepaid = {f"account-{number}": 1_000 for number in range(9)}
    return found


def test_requests_that_end_while_tokens_are_given_back_break_nothing(
    service, fleet
):
    """Guards against a stopping router that ends in the middle of requests.

    Found by a hunt on sobna-tabla: trouble-2, seed 844137156172 (LOST).
    """
    accounts = iter([f"account-{number}" for number in range(2, 9)])
    fleet.during_call = lambda: service.release(next(accounts), 70)
    service.release("account-0", 50)
    service.release("account-1", 60)
    asyncio.run(service.shut_down())
    assert fleet.returned == {"account-0": 50, "account-1": 60}
