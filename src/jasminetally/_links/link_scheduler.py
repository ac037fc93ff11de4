"""Order in which a router sends bytes over a link that is nearly full."""

from __future__ import annotations

from collections.abc import Hashable
import heapq
import itertools
from typing import NamedTuple

# Share of the link's rate that is planned with. The rest is for what is not
# counted: packet headers, messages between routers and calls to the store.
USABLE_RATE_RATIO = 0.85
# Time that counted bytes may take to leave the link before large requests wait.
# It bounds what a small message waits behind them.
MAX_BACKLOG_S = 0.01
# Requests are sent in pieces of this size while the link is full. Smaller
# messages never wait.
PIECE_BYTES = 4_096


class Urgency(NamedTuple):
    """Order in which waiting requests are sent, the smallest first.

    Attributes:
        priority: Priority of the request; 0 is the most urgent.
        deadline_s: Monotonic time in seconds by which it must be answered.
    """

    priority: int
    deadline_s: float


class LinkScheduler:
    """Decides when pieces of large requests may be sent.

    Responses and small requests are sent at once and only counted. Large
    requests, which wait for little else than their own length, are sent in the
    time that is left, the most urgent first. It answers a small instance whose
    callers can't be sent elsewhere and send more than its link carries: without
    it, each message waits behind all bytes before it.

    Performs no I/O.

    Args:
        rate_bytes_per_s: Rate of the link.
    """

    def __init__(self, rate_bytes_per_s: float) -> None:
        self._rate_bytes_per_s = USABLE_RATE_RATIO * rate_bytes_per_s
        self._backlog_bytes = 0.0
        self._counted_s = float("-inf")
        self._order = itertools.count()
        self._waiting: list[tuple[Urgency, int, Hashable, int]] = []
        self._cancelled: set[Hashable] = set()

    @property
    def waiting_bytes(self) -> int:
        """Bytes of the pieces that wait."""
        return sum(
            size
            for _, _, ticket, size in self._waiting
            if ticket not in self._cancelled
        )

    def count_sent(self, size: int, now_s: float) -> None:
        """Count bytes that are sent at once.

        Args:
            size: Number of bytes.
            now_s: Monotonic time in seconds.
        """
        self._drain(now_s)
        self._backlog_bytes += size

    def is_free(self, size: int, now_s: float) -> bool:
        """Return whether bytes may be sent now without any waiting.

        Args:
            size: Number of bytes.
            now_s: Monotonic time in seconds.
        """
        self._drain(now_s)
        limit = MAX_BACKLOG_S * self._rate_bytes_per_s
        return not self._waiting and self._backlog_bytes + size <= limit

    def wait(self, ticket: Hashable, size: int, urgency: Urgency) -> None:
        """Add a piece that is to be sent once there is room.

        Args:
            ticket: Identifies the piece.
            size: Number of bytes.
            urgency: Its place in the order; equal ones keep their order.
        """
        heapq.heappush(
            self._waiting, (urgency, next(self._order), ticket, size)
        )

    def cancel(self, ticket: Hashable) -> None:
        """Remove a piece that waits."""
        if any(found[2] == ticket for found in self._waiting):
            self._cancelled.add(ticket)

    def take_sendable(self, now_s: float) -> list[Hashable]:
        """Remove and return the pieces to send now, and count them.

        Args:
            now_s: Monotonic time in seconds.
        """
        self._drain(now_s)
        limit = MAX_BACKLOG_S * self._rate_bytes_per_s
        sendable = []
        while self._waiting and self._backlog_bytes < limit:
            _, _, ticket, size = heapq.heappop(self._waiting)
            if ticket in self._cancelled:
                self._cancelled.discard(ticket)
                continue
            self._backlog_bytes += size
            sendable.append(ticket)
        return sendable

    def next_room_s(self, now_s: float) -> float | None:
        """Return in how many seconds the next piece may be sent.

        Returns:
            None if no piece waits.
        """
        if not self._waiting:
            return None
        self._drain(now_s)
        limit = MAX_BACKLOG_S * self._rate_bytes_per_s
        excess = self._backlog_bytes - limit
        return max(0.0, excess / self._rate_bytes_per_s)

    def expected_wait_s(
        self, size: int, urgency: Urgency, now_s: float
    ) -> float:
        """Return how long a request would take to be sent, in seconds.

        Args:
            size: Its bytes.
            urgency: Its place in the order.
            now_s: Monotonic time in seconds.
        """
        self._drain(now_s)
        ahead = sum(
            waiting
            for before, _, ticket, waiting in self._waiting
            if before <= urgency and ticket not in self._cancelled
        )
        total = self._backlog_bytes + ahead + size
        return total / self._rate_bytes_per_s

    def _drain(self, now_s: float) -> None:
        passed_s = max(0.0, now_s - self._counted_s)
        self._counted_s = max(now_s, self._counted_s)
        sent = passed_s * self._rate_bytes_per_s
        self._backlog_bytes = max(0.0, self._backlog_bytes - sent)
