"""Event queue in virtual time."""

from __future__ import annotations

import heapq
import itertools
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable


class EventQueue:
    """Runs callbacks in the order of their virtual time.

    Callbacks with the same time run in the order in which they were added.
    This makes a run reproducible from its seed.

    Attributes:
        now_s: Virtual time in seconds.
    """

    def __init__(self) -> None:
        self.now_s = 0.0
        self._heap: list[tuple[float, int, Callable, tuple]] = []
        self._sequence_numbers = itertools.count()

    def call_at(self, at_s: float, callback: Callable, *args: object) -> None:
        """Schedule a callback; a time in the past means now."""
        at_s = max(at_s, self.now_s)
        heapq.heappush(
            self._heap, (at_s, next(self._sequence_numbers), callback, args)
        )

    def call_after(
        self, delay_s: float, callback: Callable, *args: object
    ) -> None:
        """Schedule a callback after a delay in seconds."""
        self.call_at(self.now_s + delay_s, callback, *args)

    def run_until(self, until_s: float) -> None:
        """Run all callbacks that are due at or before a virtual time."""
        while self._heap and self._heap[0][0] <= until_s:
            at_s, _, callback, args = heapq.heappop(self._heap)
            self.now_s = at_s
            callback(*args)
        self.now_s = until_s
