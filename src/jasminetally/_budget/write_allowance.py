"""Limit of a router's platform writes."""

from __future__ import annotations


class WriteAllowance:
    """Token bucket shared by the budget managers of one router.

    Args:
        rate: Writes per second.
        burst: Writes that may be made at once after a quiet time.
    """

    def __init__(self, *, rate: float, burst: float = 5.0) -> None:
        self._rate = rate
        self._burst = burst
        self._level = burst
        self._at_s: float | None = None

    def set_rate(self, rate: float) -> None:
        """Change the rate, in writes per second."""
        self._rate = rate

    def take(self, now_s: float) -> bool:
        """Take one write; return False if the rate does not allow it."""
        if self._at_s is not None and now_s > self._at_s:
            passed_s = now_s - self._at_s
            self._level = min(self._burst, self._level + passed_s * self._rate)
        self._at_s = now_s
        if self._level < 1.0:
            return False
        self._level -= 1.0
        return True
