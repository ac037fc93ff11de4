"""Whether the servers of a service fall over if they reject too much."""

from __future__ import annotations

from jasminetally._placing import numbered_value

# Time without a server that says that it is brittle after which the word of one
# that doesn't say so holds for the whole service.
BRITTLE_MEMORY_S = 1.0


class ServiceBrittleness:
    """Whether the servers of a service say that they are brittle.

    It holds for all of them, also for those that have not responded yet, since
    a server that has started again is filled within a fraction of a second.

    Attributes:
        notice: Rejections a second that each server bears, while they are
            brittle.
    """

    def __init__(self) -> None:
        self.notice = numbered_value.NumberedValue()
        self._named_s = float("-inf")

    def on_response(
        self, max_rejections_per_s: float | None, *, sent_s: float, now_s: float
    ) -> bool:
        """Apply what the response of any of the servers says.

        Args:
            max_rejections_per_s: Rejections a second that the server bears;
                None if the response does not say that it is brittle.
            sent_s: Monotonic time in seconds at which the request was sent.
            now_s: Monotonic time in seconds.

        Returns:
            Whether this has changed.
        """
        known = self.notice.value
        if max_rejections_per_s is None:
            silent_since_s = max(self._named_s, self.notice.changed_s)
            if sent_s < silent_since_s or (
                now_s < silent_since_s + BRITTLE_MEMORY_S
            ):
                return False
            return self.notice.change(None, now_s)
        self._named_s = now_s
        if known is not None:
            max_rejections_per_s = min(known, max_rejections_per_s)
        return self.notice.change(max_rejections_per_s, now_s)
