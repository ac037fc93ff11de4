"""Sending of requests over this instance's link, in the scheduler's order."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import itertools
import time

from jasminetally._links import link_scheduler

BITS_PER_BYTE = 8
BITS_PER_MEGABIT = 1_000_000
# A faster link carries more than one process can relay, so it never fills.
MAX_SCHEDULED_MBPS = 200.0
# Largest part of the time that a request has left that it may wait for the
# link. What would wait for longer is refused.
MAX_WAIT_RATIO = 0.5


def bytes_per_s(link_mbps: float | None) -> float | None:
    """Return the rate of a link that one process can fill.

    Args:
        link_mbps: Rate in megabits a second; None if not known.

    Returns:
        Bytes a second; None if not known, or if no process fills the link.
    """
    if not link_mbps or link_mbps > MAX_SCHEDULED_MBPS:
        return None
    return link_mbps * BITS_PER_MEGABIT / BITS_PER_BYTE


class LinkGate:
    """Lets requests pass when the link has room for them.

    Args:
        link_mbps: Rate of the link in megabits a second; None if not known.
            Then nothing waits, nor on a link that this process can't fill.
    """

    def __init__(self, link_mbps: float | None) -> None:
        rate = bytes_per_s(link_mbps)
        self._scheduler = (
            None if rate is None else link_scheduler.LinkScheduler(rate)
        )
        self._tickets = itertools.count()
        self._waiters: dict[int, asyncio.Future[None]] = {}
        self._timer: asyncio.TimerHandle | None = None

    @property
    def waiting_bytes(self) -> int:
        """Bytes that wait for the link."""
        return self._scheduler.waiting_bytes if self._scheduler else 0

    @property
    def counter(self) -> Callable[[int], None] | None:
        """Function to call with each number of bytes sent without waiting.

        None if nothing needs to be counted.
        """
        return None if self._scheduler is None else self._count_sent

    def overload_wait_s(
        self, size: int, urgency: link_scheduler.Urgency
    ) -> float | None:
        """Return when to come back with a request that can't be sent in time.

        Args:
            size: Bytes of the request.
            urgency: Its place in the order, with its deadline.

        Returns:
            Seconds; None if it can be sent in time.
        """
        if self._scheduler is None or size <= link_scheduler.PIECE_BYTES:
            return None
        now_s = time.monotonic()
        wait_s = self._scheduler.expected_wait_s(size, urgency, now_s)
        if wait_s <= MAX_WAIT_RATIO * (urgency.deadline_s - now_s):
            return None
        return wait_s

    async def admit(self, size: int, urgency: link_scheduler.Urgency) -> int:
        """Wait until a request, or its first piece, may be sent.

        Args:
            size: Bytes of the request.
            urgency: Its place in the order.

        Returns:
            How many bytes may be sent at once.
        """
        scheduler = self._scheduler
        if scheduler is None:
            return size
        if size <= link_scheduler.PIECE_BYTES or scheduler.is_free(
            size, time.monotonic()
        ):
            self._count_sent(size)
            return size
        await self._wait_for_room(link_scheduler.PIECE_BYTES, urgency)
        return link_scheduler.PIECE_BYTES

    async def send_rest(
        self,
        data: bytes,
        urgency: link_scheduler.Urgency,
        write: Callable[[bytes], None],
    ) -> None:
        """Send what follows the first piece of a request.

        Args:
            data: The rest of the request.
            urgency: Place of the request in the order.
            write: Sends bytes.
        """
        for start in range(0, len(data), link_scheduler.PIECE_BYTES):
            piece = data[start : start + link_scheduler.PIECE_BYTES]
            await self._wait_for_room(len(piece), urgency)
            write(piece)

    def _count_sent(self, size: int) -> None:
        if self._scheduler is not None:
            self._scheduler.count_sent(size, time.monotonic())

    async def _wait_for_room(
        self, size: int, urgency: link_scheduler.Urgency
    ) -> None:
        """Wait until the link has room for a piece, and count it."""
        scheduler = self._scheduler
        if scheduler is None:
            return
        ticket = next(self._tickets)
        fut = asyncio.get_running_loop().create_future()
        self._waiters[ticket] = fut
        scheduler.wait(ticket, size, urgency)
        self._wake_waiters()
        try:
            await fut
        finally:
            if self._waiters.pop(ticket, None) is not None:
                scheduler.cancel(ticket)

    def _wake_waiters(self) -> None:
        """Let the pieces pass for which there is room, now and later."""
        if self._scheduler is None:
            return
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        now_s = time.monotonic()
        for ticket in self._scheduler.take_sendable(now_s):
            fut = self._waiters.pop(ticket, None)
            if fut is not None and not fut.done():
                fut.set_result(None)
        delay_s = self._scheduler.next_room_s(now_s)
        if delay_s is not None:
            self._timer = asyncio.get_running_loop().call_later(
                delay_s, self._wake_waiters
            )
