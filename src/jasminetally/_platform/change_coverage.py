"""How far a router has heard of the changes in the store."""

from __future__ import annotations

from collections.abc import Callable

# Age of the last call of a watch that still counts as current. The watches of a
# router that relies on nobody else return within 1 s, and are then repeated.
MAX_AGE_S = 2.5


class ChangeCoverage:
    """Time up to which all changes under a prefix are known.

    What was true of all objects once is certain only as long as a router hears
    of changes. Whoever decides by what it does not know of, such as a version
    that no server has, asks here whether it would have heard. Performs no I/O.
    """

    def __init__(self) -> None:
        self._heard_until_s = float("-inf")
        self._gap_callbacks: list[Callable[[], None]] = []

    def add_gap_callback(self, callback: Callable[[], None]) -> None:
        """Register a function to be called when changes were missed for good.

        The objects of now are known then, but not those that have come and gone
        in between.
        """
        self._gap_callbacks.append(callback)

    def on_heard(self, asked_s: float) -> None:
        """Note that the store has told all changes.

        Args:
            asked_s: Monotonic time in seconds at which it was asked; later
                changes may be missing from its answer.
        """
        self._heard_until_s = max(self._heard_until_s, asked_s)

    def on_gap(self) -> None:
        """Note that changes were missed that nobody can tell any more."""
        for callback in self._gap_callbacks:
            callback()

    def is_current(self, now_s: float) -> bool:
        """Return whether all changes are known until just now.

        Args:
            now_s: Monotonic time in seconds.
        """
        return now_s - self._heard_until_s <= MAX_AGE_S
