"""Tests of the reservation of prepaid tokens."""

from __future__ import annotations

import asyncio

import pytest

from jasminetally._peers import node_identity
from jasminetally._peers import peer_messages
from jasminetally._prepaid import prepaid_service


class FakeFleet:
    """Fleet with one other router, which is the owner of all shards.

    Attributes:
        own: This router.
        returned: Tokens returned to the owner, by client account.
        during_call: Called while a message is being answered.
    """

    def __init__(self) -> None:
        self.own = node_identity.NodeIdentity("a", "a#1", "", "", "", 1.0)
        self.returned: dict[str, int] = {}
        self.during_call = lambda: None

    def owner_of_shard(self, shard: int, now_s: float) -> str:
        """Return the other router."""
        del shard, now_s
        return "b#1"

    async def call(self, incarnation, message, *, timeout_s):
        """Record the returned tokens after a task switch."""
        del incarnation, timeout_s
        await asyncio.sleep(0)
        self.during_call()
        assert isinstance(message, peer_messages.ReturnTokens)
        self.returned[message.account] = message.tokens
        return peer_messages.Ack()


@pytest.fixture
def fleet() -> FakeFleet:
    return FakeFleet()


@pytest.fixture
def service(fleet, log):
    service = prepaid_service.PrepaidService(fleet, None, log)
    service._prepaid = {f"account-{number}": 1_000 for number in range(9)}
    return service


def test_requests_may_end_while_a_shutdown_returns_tokens(service, fleet):
    """Guards against a shutdown that fails and cuts off running requests.

    A request that ends during a return can add an account to the balances
    while the shutdown iterates over them. Seen on the users' bench at site
    sobna-tabla, day trouble-2, seed 844137156172.
    """
    accounts = iter([f"account-{number}" for number in range(2, 9)])
    fleet.during_call = lambda: service.release(next(accounts), 70)
    service.release("account-0", 50)
    service.release("account-1", 60)
    asyncio.run(service.shut_down())
    assert fleet.returned == {"account-0": 50, "account-1": 60}
