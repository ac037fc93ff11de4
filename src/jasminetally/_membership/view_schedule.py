"""Schedule of the instance view's probes and reads."""

from __future__ import annotations

from jasminetally._membership import view_policy


class ViewSchedule:
    """Determines when probes and reads are due.

    Missed probes and reads are not made up for, so that a pause of this
    process is not followed by a burst of them.
    """

    def __init__(self, policy: view_policy.ViewPolicy) -> None:
        self._policy = policy
        self._next_probe_s = 0.0
        self._next_read_s = 0.0

    def is_probe_due(self, now_s: float) -> bool:
        """Return whether a round of probes is due; schedule the next one."""
        if now_s < self._next_probe_s:
            return False
        self._next_probe_s = now_s + self._policy.probe_period_s
        return True

    def is_read_due(self, now_s: float, *, routers: int) -> bool:
        """Return whether a read is due; schedule the next one.

        Args:
            now_s: Monotonic time in seconds.
            routers: Number of other routers.
        """
        if now_s < self._next_read_s:
            return False
        self._next_read_s = now_s + self.read_period_s(routers=routers)
        return True

    def read_period_s(self, *, routers: int) -> float:
        """Return the seconds between reads for a number of other routers."""
        return max(
            self._policy.min_read_period_s,
            self._policy.read_period_per_router_s * routers,
        )

    def max_list_gap_s(self, *, routers: int) -> float:
        """Return the longest gap between two results of the list in seconds.

        See ``ViewPolicy.max_list_gap_periods``.
        """
        periods = self._policy.max_list_gap_periods
        return periods * self.read_period_s(routers=routers)
