"""Loans of brittle backend servers' slots between routers."""

from __future__ import annotations

import asyncio
import itertools
import random
import time

from jasminetally import _errors
from jasminetally._forward import borrowed_slot
from jasminetally._forward import request_job
from jasminetally._observe import event_log
from jasminetally._observe import events
from jasminetally._peers import fleet_service as fleet_service_lib
from jasminetally._peers import peer_messages
from jasminetally._placing import placement_request
from jasminetally._placing import server_registry
from jasminetally._placing import server_selector
from jasminetally._placing import slot_share
from jasminetally._shared import background_tasks
from jasminetally._streams import process_label

# Routers that are asked for a slot for one request.
MAX_LENDERS_ASKED = 2
# Time for which a request waits for the answer of one of them. They are a few
# milliseconds apart; a slot that is lent later is given back.
BORROW_WAIT_S = 0.15
# Timeout of calls to lenders; a shorter one would end other calls as well.
CALL_TIMEOUT_S = 0.9
# Longest loan. A slot counts as free again then, if the borrower or the message
# that returns it was lost.
MAX_LOAN_S = 30.0


class SlotExchange:
    """Lends this router's slots of brittle servers, and borrows from others.

    With more routers than slots most have none, and callers choose routers
    without regard to slots. A router without a free slot asks one whose status
    tells that it has some. This answers load that is uneven among routers, and
    services with few slots; if all are busy, nobody is asked.

    Args:
        registry: Backend servers.
        selector: Selects the servers whose slots are lent.
        fleet: The other routers.
        tasks: Runs calls in the background.
        log: Receives the log events.
    """

    def __init__(
        self,
        registry: server_registry.ServerRegistry,
        selector: server_selector.ServerSelector,
        fleet: fleet_service_lib.FleetService,
        tasks: background_tasks.BackgroundTasks,
        log: event_log.EventLog,
    ) -> None:
        self._registry = registry
        self._selector = selector
        self._fleet = fleet
        self._tasks = tasks
        self._log = log
        self._numbers = itertools.count(1)
        self._lent: dict[str, slot_share.SlotShare] = {}
        # By instance and service: the status that named spare slots, and how
        # many of them are not there any more.
        self._used: dict[
            tuple[str, str], tuple[peer_messages.Status, float]
        ] = {}

    def on_asked(
        self, message: peer_messages.BorrowSlot
    ) -> peer_messages.SlotLent:
        """Lend a slot of the least loaded server that has one, if any.

        Args:
            message: The question of another router.
        """
        now_s = time.monotonic()
        ranked = self._selector.rank_servers(
            placement_request.PlacementRequest(
                message.service,
                (),
                0,
                frozenset(message.excluded),
                message.version,
                process_label.decode(message.version),
            ),
            now_s,
        )
        for candidate in ranked:
            record = candidate.record
            if record.spare_slots(now_s) > 0:
                share = record.notices.rejection_guard.share
                share.lend(
                    message.loan, now_s + min(message.duration_s, MAX_LOAN_S)
                )
                self._lent[message.loan] = share
                return peer_messages.SlotLent(record.entry.server_id)
        return peer_messages.SlotLent("")

    def on_returned(
        self, message: peer_messages.ReturnSlot
    ) -> peer_messages.Ack:
        """Take back a slot.

        Args:
            message: The message of the borrower.
        """
        share = self._lent.pop(message.loan, None)
        if share is not None:
            share.take_back(message.loan)
        record = self._registry.get(message.server)
        if message.rejected and record is not None:
            self._registry.notices.on_rejected(record.entry, time.monotonic())
        return peer_messages.Ack()

    async def borrow(
        self, job: request_job.RequestJob
    ) -> borrowed_slot.BorrowedSlot | None:
        """Borrow a slot of a server that may run a request.

        Args:
            job: The request.

        Returns:
            The slot, which must be given back; None if no router lends one.
        """
        for _ in range(MAX_LENDERS_ASKED):
            lender = self._choose_lender(job.service)
            if lender is None:
                return None
            message = peer_messages.BorrowSlot(
                f"{self._fleet.own.incarnation}/{next(self._numbers)}",
                job.service,
                job.required_version,
                sorted(job.excluded_servers),
                job.deadline_s - time.monotonic(),
            )
            slot = await self._ask(lender, message)
            if slot is None:
                self._note_used(lender, job.service, float("inf"))
                continue
            self._note_used(lender, job.service, 1)
            now_s = time.monotonic()
            if slot.record.refusal_reason(now_s, borrowed=True) is None:
                return slot
            self.give_back(slot, rejected=False)
        return None

    def give_back(
        self, slot: borrowed_slot.BorrowedSlot, *, rejected: bool
    ) -> None:
        """Give back a slot.

        Args:
            slot: The slot.
            rejected: Whether the server has turned the request away.
        """
        self._return(
            slot.lender,
            peer_messages.ReturnSlot(
                slot.loan, slot.record.entry.server_id, rejected
            ),
        )

    def forget_expired_loans(self, now_s: float) -> None:
        """Forget the loans whose slots have come back without a message.

        Args:
            now_s: Monotonic time in seconds.
        """
        self._lent = {
            loan: share
            for loan, share in self._lent.items()
            if share.is_lent(loan, now_s)
        }

    async def _ask(
        self, lender: str, message: peer_messages.BorrowSlot
    ) -> borrowed_slot.BorrowedSlot | None:
        """Return the slot that a router lends; None if it lends none in time.

        A slot that is not used is given back.
        """
        call = asyncio.ensure_future(self._call(lender, message))
        record, refused = None, False
        try:
            await asyncio.wait({call}, timeout=BORROW_WAIT_S)
            reply = call.result() if call.done() else None
            if isinstance(reply, peer_messages.SlotLent):
                refused = not reply.server
                record = self._registry.get(reply.server)
        finally:
            # The request may also have been cancelled meanwhile.
            if record is None and not refused:
                self._return(
                    lender, peer_messages.ReturnSlot(message.loan, "", False)
                )
        if record is None:
            return None
        return borrowed_slot.BorrowedSlot(message.loan, lender, record)

    async def _call(
        self, router: str, message: peer_messages.Message
    ) -> peer_messages.Message | None:
        """Call a router; return None if it does not answer."""
        try:
            return await self._fleet.call(
                router,
                message,
                timeout_s=CALL_TIMEOUT_S * self._fleet.patience(),
            )
        except _errors.PeerUnreachableError as exc:
            self._log.emit(
                events.LenderUnreachable(router=router, reason=str(exc))
            )
            return None

    def _return(self, lender: str, message: peer_messages.ReturnSlot) -> None:
        async def call() -> None:
            await self._call(lender, message)

        self._tasks.start_concurrent("return slot", call())

    def _choose_lender(self, service: str) -> str | None:
        """Return a router that should have a slot; more slots, more often."""
        spare: dict[str, float] = {}
        for member in self._fleet.alive_members():
            status = member.status
            if status is None or not status.spare_slots.get(service):
                continue
            slots = status.spare_slots[service]
            key = member.identity.node, service
            known, used = self._used.get(key, (status, 0.0))
            if known is status:
                slots -= used
            if slots > 0:
                spare[member.identity.incarnation] = slots
        if not spare:
            return None
        return random.choices(list(spare), list(spare.values()))[0]

    def _note_used(self, lender: str, service: str, slots: float) -> None:
        node, _, _ = lender.partition("#")
        member = self._fleet.view.get(node)
        if member is None or member.status is None:
            return
        known, used = self._used.get((node, service), (member.status, 0.0))
        if known is not member.status:
            used = 0.0
        self._used[node, service] = member.status, used + slots
