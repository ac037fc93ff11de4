"""Admission to a backend server that falls over if it rejects too much."""

from __future__ import annotations

import math

from jasminetally._placing import service_brittleness
from jasminetally._placing import slot_share

# Shortest time for which a router sends a server nothing after a rejection, and
# the part of the rejections that a server bears which all routers that have a
# part of its slots may cause together.
MIN_BACKOFF_S = 1.0
MAX_REJECTIONS_RATIO = 0.5
# Lowest number of rejections a second that a server is taken to bear.
MIN_REJECTIONS_PER_S = 1.0
# Factor by which a rejection lowers the requests that a router has under way at
# a server, the lowest value, and what is regained in a second.
REJECTION_FACTOR = 0.5
MIN_FACTOR = 0.25
REGAINED_PER_S = 0.05
# Wait that is assumed until one of the requests under way has ended.
SLOT_WAIT_S = 0.2


class RejectionGuard:
    """Limits the requests under way at one incarnation of a brittle server.

    Such a server names how many requests a second it can reject for want of
    room. Each router has a part of its slots for itself, which it may lend. It
    answers overload of a service: the requests beyond it are refused here, not
    by the server.

    Attributes:
        service: Brittleness of all servers of the service.
        share: Slots of the server that this router has for itself.
    """

    def __init__(self) -> None:
        self.service = service_brittleness.ServiceBrittleness()
        self._named: float | None = None
        self._named_s = float("-inf")
        self.share = slot_share.SlotShare()
        self._rejected_s = float("-inf")
        self._factor = 1.0

    @property
    def max_rejections_per_s(self) -> float | None:
        """Rejections a second that the server bears; None if not brittle.

        The latest word counts, the server's own or that about the service.
        """
        notice = self.service.notice
        if self._named_s >= notice.changed_s:
            return self._named
        return notice.value

    def on_response(
        self, max_rejections_per_s: float | None, *, sent_s: float, now_s: float
    ) -> bool:
        """Apply what a response says.

        Args:
            max_rejections_per_s: Rejections a second that the server bears;
                None if the response does not say that it is brittle.
            sent_s: Monotonic time in seconds at which the request was sent.
            now_s: Monotonic time in seconds.

        Returns:
            Whether this has changed.
        """
        known = self.max_rejections_per_s
        if max_rejections_per_s is None and sent_s < max(
            self._named_s, self.service.notice.changed_s
        ):
            # It may have been written before the last one that said so.
            return False
        self._named = max_rejections_per_s
        self._named_s = now_s
        return max_rejections_per_s != known

    def on_rejected(self, now_s: float) -> None:
        """Note that the server has rejected a request for want of room."""
        if self.max_rejections_per_s is None:
            return
        self._factor = max(
            MIN_FACTOR, self._current_factor(now_s) * REJECTION_FACTOR
        )
        self._rejected_s = now_s

    def wait_s(self, now_s: float, own_requests: int) -> float:
        """Return the seconds until this router may send a request; 0 for now.

        Args:
            now_s: Monotonic time in seconds.
            own_requests: Requests of this router that use its own slots.
        """
        if self.max_rejections_per_s is None:
            return 0.0
        if now_s < self._rejected_s + self._backoff_s():
            return self._rejected_s + self._backoff_s() - now_s
        return 0.0 if self.spare_slots(now_s, own_requests) else SLOT_WAIT_S

    def spare_slots(self, now_s: float, own_requests: int) -> int:
        """Return how many of this router's slots are neither used nor lent.

        Args:
            now_s: Monotonic time in seconds.
            own_requests: Requests of this router that use its own slots.
        """
        if now_s < self._rejected_s + self._backoff_s():
            return 0
        own_slots = self.share.own_slots
        usable_slots = own_slots and max(
            1, math.floor(self._current_factor(now_s) * own_slots)
        )
        return max(
            0, usable_slots - own_requests - self.share.lent_slots(now_s)
        )

    def _backoff_s(self) -> float:
        """Return for how many seconds to send nothing after a rejection."""
        tolerated_per_s = MAX_REJECTIONS_RATIO * max(
            MIN_REJECTIONS_PER_S, self.max_rejections_per_s or 0.0
        )
        return max(MIN_BACKOFF_S, self.share.holders / tolerated_per_s)

    def _current_factor(self, now_s: float) -> float:
        regained = REGAINED_PER_S * (now_s - self._rejected_s)
        return min(1.0, self._factor + regained)
