"""Tests of loans of brittle servers' slots between routers."""

from __future__ import annotations

import asyncio
import random
import time
import types

import pytest

from jasminetally import _errors
from jasminetally._forward import slot_exchange
from jasminetally._observe import event_log
from jasminetally._peers import member as member_lib
from jasminetally._peers import node_identity
from jasminetally._peers import peer_messages
from jasminetally._placing import notice_book
from jasminetally._placing import server_entry
from jasminetally._placing import server_registry
from jasminetally._placing import server_selector
from jasminetally._shared import background_tasks

OWN_SLOTS = 2


class FakeFleet:
    """Another router ``b``, whose answers the test sets, by message type."""

    def __init__(self) -> None:
        self.own = make_identity("a")
        self.member = member_lib.Member(make_identity("b"))
        self.member.status = make_status(self.member.identity, {"app": 2})
        self.view = types.SimpleNamespace(get=lambda node: self.member)
        self.answer = lambda message: peer_messages.SlotLent("s")
        self.messages: list = []

    def alive_members(self):
        """Return the other router."""
        return [self.member]

    def patience(self) -> float:
        """Return the factor by which to wait longer."""
        return 1.0

    async def call(self, incarnation, message, *, timeout_s):
        """Record a message and return its answer."""
        assert incarnation == "b#1"
        self.messages.append(message)
        if isinstance(message, peer_messages.ReturnSlot):
            return peer_messages.Ack()
        answer = self.answer(message)
        if answer is None:
            await asyncio.sleep(timeout_s)
            raise _errors.PeerUnreachableError("no answer")
        return answer

    def returned(self) -> list[str]:
        """Return the loans whose slots were given back."""
        return [
            message.loan
            for message in self.messages
            if isinstance(message, peer_messages.ReturnSlot)
        ]

    def asked(self) -> list[str]:
        """Return the loans that were asked for."""
        return [
            message.loan
            for message in self.messages
            if isinstance(message, peer_messages.BorrowSlot)
        ]


def make_identity(node: str) -> node_identity.NodeIdentity:
    return node_identity.NodeIdentity(node, f"{node}#1", "", "", "hall", 1.0)


def make_status(sender, spare_slots) -> peer_messages.Status:
    return peer_messages.Status(
        sender, 1, True, False, True, {}, {}, [], 0.0, None,
        spare_slots=spare_slots,
    )  # fmt: skip


def make_job(**changes):
    return types.SimpleNamespace(
        service="app",
        required_version=None,
        excluded_servers=set(),
        deadline_s=time.monotonic() + 5.0,
        **changes,
    )


@pytest.fixture
def registry() -> server_registry.ServerRegistry:
    result = server_registry.ServerRegistry(notice_book.NoticeBook())
    entry = server_entry.ServerEntry(
        "s", "app", "127.0.0.1:1", "hall", OWN_SLOTS, False, 1
    )
    result.on_entry_changed(entry)
    result.notices.on_brittleness_named(
        entry, 6.0, sent_s=time.monotonic(), now_s=time.monotonic()
    )
    return result


@pytest.fixture
def fleet() -> FakeFleet:
    return FakeFleet()


@pytest.fixture
def exchange(registry, fleet, log: event_log.EventLog):
    return slot_exchange.SlotExchange(
        registry,
        server_selector.ServerSelector(registry, random.Random(1)),
        fleet,
        background_tasks.BackgroundTasks(log),
        log,
    )


def ask(exchange, loan: str, **changes) -> str:
    fields = {"service": "app", "version": None, "excluded": []}
    return exchange.on_asked(
        peer_messages.BorrowSlot(
            loan=loan, duration_s=5.0, **{**fields, **changes}
        )
    ).server


def test_only_free_slots_are_lent_and_each_once(exchange):
    """Guards against more requests at a server than it has slots."""
    assert [ask(exchange, str(n)) for n in range(3)] == ["s", "s", ""]
    exchange.on_returned(peer_messages.ReturnSlot("0", "s", False))
    exchange.on_returned(peer_messages.ReturnSlot("0", "s", False))
    assert [ask(exchange, str(n)) for n in range(3, 5)] == ["s", ""]


def test_slots_in_use_and_unwanted_servers_are_not_lent(exchange, registry):
    """Guards against loans of slots that the lender fills itself."""
    registry.get("s").adjust_own_load(running_requests=OWN_SLOTS)
    assert ask(exchange, "1") == ""
    registry.get("s").adjust_own_load(running_requests=-1)
    assert ask(exchange, "2", excluded=["s"]) == ""
    assert ask(exchange, "3", version="other") == ""
    assert ask(exchange, "4", service="other") == ""
    assert ask(exchange, "5") == "s"


def test_slot_is_lent_for_a_stream_that_is_bound_to_a_process(exchange):
    """Guards against refusals while the entry of a new process is late."""
    assert ask(exchange, "1", version="process other started 2") == ""
    assert ask(exchange, "2", version="process s started 2") == "s"


def test_sturdy_servers_are_not_lent(exchange, registry):
    """Guards against loans where no slots are divided."""
    entry = registry.get("s").entry._replace(server_id="t", service="other")
    registry.on_entry_changed(entry)
    assert ask(exchange, "1", service="other") == ""


def test_rejected_borrower_makes_the_lender_back_off(exchange):
    """Guards against a full server whose lender does not hear of it."""
    assert ask(exchange, "1") == "s"
    exchange.on_returned(peer_messages.ReturnSlot("1", "s", True))
    assert ask(exchange, "2") == ""


def test_router_is_asked_for_no_more_than_it_has_named(exchange, fleet):
    """Guards against calls to routers that have lent what they had."""

    async def borrow_thrice():
        return [await exchange.borrow(make_job()) for _ in range(3)]

    slots = asyncio.run(borrow_thrice())
    assert [slot and slot.lender for slot in slots] == ["b#1", "b#1", None]
    assert len(fleet.asked()) == 2
    fleet.member.status = make_status(fleet.member.identity, {"app": 1})
    assert asyncio.run(exchange.borrow(make_job())) is not None


def test_refusing_router_is_not_asked_again_until_its_next_status(
    exchange, fleet
):
    """Guards against calls in vain for each request under overload."""
    fleet.answer = lambda message: peer_messages.SlotLent("")

    async def borrow_twice():
        return [await exchange.borrow(make_job()) for _ in range(2)]

    assert asyncio.run(borrow_twice()) == [None, None]
    assert len(fleet.asked()) == 1
    assert fleet.returned() == []


def test_slot_of_an_unknown_server_is_returned(exchange, fleet):
    """Guards against slots that stay lent and unused."""
    fleet.answer = lambda message: peer_messages.SlotLent("unknown")

    async def borrow():
        slot = await exchange.borrow(make_job())
        await asyncio.sleep(0)
        return slot

    assert asyncio.run(borrow()) is None
    assert fleet.returned() == fleet.asked()


@pytest.mark.parametrize("cancelled", [False, True])
def test_slot_is_returned_if_its_answer_comes_late(exchange, fleet, cancelled):
    """Guards against slots lent to requests that have given up waiting."""
    fleet.answer = lambda message: None

    async def borrow():
        task = asyncio.ensure_future(exchange.borrow(make_job()))
        await asyncio.sleep(0.01)
        if cancelled:
            task.cancel()
        await asyncio.wait({task})
        await asyncio.sleep(0)

    asyncio.run(borrow())
    assert fleet.returned() == fleet.asked() != []


def test_slot_of_a_server_that_wants_a_pause_is_given_back(
    exchange, fleet, registry
):
    """Guards against requests at a server that this router knows as paused."""
    registry.notices.on_pause_requested("s", 1, time.monotonic() + 5.0)

    async def borrow():
        slot = await exchange.borrow(make_job())
        await asyncio.sleep(0)
        return slot

    assert asyncio.run(borrow()) is None
    assert sorted(fleet.returned()) == sorted(fleet.asked()) != []
