"""Detection of a watch that has gone silent, from what other routers know."""

from __future__ import annotations

# Time for which another router must know something else than this one before
# this one's watch is taken to be silent: the same change reaches two routers up
# to 0.5 s apart.
MISMATCH_S = 0.6


class StaleWatchDetector:
    """Compares digests of what is watched with those of other routers.

    Performs no I/O. Each difference leads to one restart of the watch: if it
    was the other router's watch that is silent, nothing changes here.
    """

    def __init__(self) -> None:
        # Own and reported digest and the monotonic time since when, by sender.
        self._differences: dict[str, tuple[int, int, float]] = {}
        self._checked: set[tuple[int, int]] = set()

    def on_report(
        self, sender: str, own: int, reported: int, now_s: float
    ) -> bool:
        """Compare digests; return whether the watch should be restarted.

        Args:
            sender: Router that reports.
            own: Digest of what this router knows.
            reported: Digest of what the sender knows.
            now_s: Monotonic time in seconds.
        """
        if own == reported:
            self._differences.pop(sender, None)
            return False
        difference = self._differences.get(sender)
        if difference is None or difference[:2] != (own, reported):
            self._differences[sender] = own, reported, now_s
            return False
        if now_s - difference[2] < MISMATCH_S:
            return False
        if (own, reported) in self._checked:
            return False
        self._checked = {
            checked for checked in self._checked if checked[0] == own
        } | {(own, reported)}
        return True
