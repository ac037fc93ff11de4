"""Times of the instance view's probes and reads."""

from __future__ import annotations

from jasminetally._membership import view_policy


class ViewSchedule:
    """Says when probes and reads are due.

    A late call doesn't make up for missed ones, so that a pause of this
    process is not followed by a burst.
    """

    def __init__(self, policy: view_policy.ViewPolicy) -> None:
        self._policy = policy
        self._next_probe_s = 0.0
        self._next_read_s = 0.0

    def is_probe_due(self, now_s: float) -> bool:
        """Return whether a round of probes is due, once for each round."""
        if now_s < self._next_probe_s:
            return False
        self._next_probe_s = now_s + self._policy.probe_period_s
        return True

    def is_read_due(self, now_s: float, *, routers: int) -> bool:
        """Return whether a read is due, once for each read."""
        if now_s < self._next_read_s:
            return False
        self._next_read_s = now_s + self.read_period_s(routers=routers)
        return True

    def read_period_s(self, *, routers: int) -> float:
        """Return the seconds between reads in a fleet of a size."""
        return max(
            self._policy.min_read_period_s,
            self._policy.read_period_per_router_s * routers,
        )

    def max_list_gap_s(self, *, routers: int) -> float:
        """Return the longest pause between two results from the list."""
        periods = self._policy.max_list_gap_periods
        return periods * self.read_period_s(routers=routers)
