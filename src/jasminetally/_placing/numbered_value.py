"""Value that servers name, on whose last change routers agree by number."""

from __future__ import annotations


class NumberedValue:
    """Number that servers name for a time, with the number of its last change.

    Routers tell each other value and number, so that they agree on the latest
    change without comparing their clocks.

    Attributes:
        value: The value; None while none is named.
        number: Number of the last change, from 1; 0 if there was none.
        changed_s: Monotonic time in seconds of the last change as this router
            has learned it; minus infinity if there was none.
        spread_s: Monotonic time in seconds at which another router was last
            found to need the value; minus infinity if none was.
    """

    def __init__(self) -> None:
        self.value: float | None = None
        self.number = 0
        self.changed_s = float("-inf")
        self.spread_s = float("-inf")

    def change(self, value: float | None, now_s: float) -> bool:
        """Set the value that a server names; return whether it has changed.

        Args:
            value: The value; None if none is named any more.
            now_s: Monotonic time in seconds.
        """
        if value == self.value:
            return False
        self._set(self.number + 1, value, now_s)
        return True

    def merge(self, number: int, value: float | None, now_s: float) -> bool:
        """Apply what another router knows; return whether this has changed.

        Args:
            number: Number of the last change that it knows.
            value: The value; None if none is named.
            now_s: Monotonic time in seconds.
        """
        own = _order(self.number, self.value)
        received = _order(number, value)
        if received > own:
            self._set(number, value, now_s)
            return True
        if received < own:
            self.spread_s = now_s
        return False

    def _set(self, number: int, value: float | None, now_s: float) -> None:
        self.number = number
        self.value = value
        self.spread_s = self.changed_s = now_s


def _order(number: int, value: float | None) -> tuple[int, float]:
    """Return the order of a change; the lower value goes before of two."""
    strictness = float("-inf") if value is None else -value
    return number, strictness
