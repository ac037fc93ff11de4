"""Admission to a backend server that falls over if it rejects too much."""

from __future__ import annotations

import math

from jasminetally._placing import service_brittleness

# Time for which a router sends a server nothing after a rejection, so that all
# routers together cause less than a rejection a second each.
BACKOFF_S = 1.0
# Factor by which a rejection lowers the requests that a router has under way at
# a server, the lowest value, and what is regained in a second.
REJECTION_FACTOR = 0.5
MIN_FACTOR = 0.25
REGAINED_PER_S = 0.05
# Share of a server's slots up to which a router goes beyond its own slots, if
# the others leave theirs unused as far as it knows.
SHARED_SLOTS_RATIO = 0.8
# Wait that is assumed until one of the requests under way has ended.
SLOT_WAIT_S = 0.2


class RejectionGuard:
    """Limits the requests under way at one incarnation of a brittle server.

    Such a server names how many requests a second it can reject for want of
    room. Each router has a part of its slots for itself. It answers overload
    of a service: the requests beyond it are refused here, not by the server.

    Attributes:
        service: Brittleness of all servers of the service.
        own_slots: Slots of the server that this router has for itself.
    """

    def __init__(self) -> None:
        self.service = service_brittleness.ServiceBrittleness()
        self._named: float | None = None
        self._named_s = float("-inf")
        self.own_slots = 0
        self._shares_spare_slots = False
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

    def set_slots(self, own_slots: int, *, shares_spare_slots: bool) -> None:
        """Set how many of the server's slots this router may fill.

        Args:
            own_slots: Slots that it has for itself.
            shares_spare_slots: Whether it hears of the other routers' load
                often enough to use what they leave.
        """
        self.own_slots = own_slots
        self._shares_spare_slots = shares_spare_slots

    def wait_s(
        self, now_s: float, *, own_requests: int, all_requests: int, slots: int
    ) -> float:
        """Return the seconds until this router may send a request; 0 for now.

        Args:
            now_s: Monotonic time in seconds.
            own_requests: Requests that this router has under way at the server.
            all_requests: Requests that all routers have, as far as known.
            slots: Requests that the server runs at the same time.
        """
        if self.max_rejections_per_s is None:
            return 0.0
        if now_s < self._rejected_s + BACKOFF_S:
            return self._rejected_s + BACKOFF_S - now_s
        factor = self._current_factor(now_s)
        own_slots = self.own_slots and max(
            1, math.floor(factor * self.own_slots)
        )
        shared_slots = SHARED_SLOTS_RATIO * factor * slots
        if own_requests < own_slots or (
            self._shares_spare_slots and all_requests + 1 <= shared_slots
        ):
            return 0.0
        return SLOT_WAIT_S

    def _current_factor(self, now_s: float) -> float:
        regained = REGAINED_PER_S * (now_s - self._rejected_s)
        return min(1.0, self._factor + regained)
