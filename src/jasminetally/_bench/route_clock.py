"""Virtual time of the route bench."""

from __future__ import annotations

import heapq
import itertools
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable


class RouteClock:
    """Runs callbacks in the order of their virtual times.

    Attributes:
        now_s: Virtual time in seconds.
    """

    def __init__(self) -> None:
        self.now_s = 0.0
        self._sequence_numbers = itertools.count()
        self._due: list[tuple[float, int, Callable[[], None]]] = []

    def call_after(self, delay_s: float, callback: Callable[[], None]) -> None:
        """Schedule a callback after a delay in seconds."""
        due_s = self.now_s + delay_s
        heapq.heappush(
            self._due, (due_s, next(self._sequence_numbers), callback)
        )

    def run_until(self, until_s: float, finished: Callable[[], bool]) -> None:
        """Run callbacks until a virtual time or until ``finished`` is true."""
        while self._due and self._due[0][0] <= until_s and not finished():
            self.now_s, _, callback = heapq.heappop(self._due)
            callback()
