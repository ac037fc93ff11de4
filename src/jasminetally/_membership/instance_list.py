"""The platform's list of instances as this router has last seen it."""

from __future__ import annotations

from collections.abc import Iterable

from jasminetally._membership import listed_instance


class InstanceList:
    """Tracks the platform's list and how long instances have been missing.

    The list lags behind the real state of the instances. Durations are
    measured between results of the list and never up to the current time, so
    that a pause of this process or a store outage does not count as time in
    which an instance was not listed.

    Attributes:
        max_gap_s: Longest time in seconds between two results over which a
            missing instance counts as not listed.
    """

    def __init__(self, *, max_gap_s: float) -> None:
        """Create an empty list.

        Args:
            max_gap_s: Initial value of the attribute.
        """
        self.max_gap_s = max_gap_s
        self._entries: dict[str, listed_instance.ListedInstance] = {}
        self._last_result_s: float | None = None
        self._unlisted_since_s: dict[str, float] = {}

    def get(self, instance: str) -> listed_instance.ListedInstance | None:
        """Return the entry of an instance; None if it is not listed."""
        return self._entries.get(instance)

    @property
    def has_been_read(self) -> bool:
        """Whether a result of the list was received."""
        return self._last_result_s is not None

    def unlisted_s(self, instance: str) -> float:
        """Return for how many seconds an instance has not been listed.

        This is the time between the first and the last result without it; 0 if
        it is listed or not tracked.
        """
        unlisted_since_s = self._unlisted_since_s.get(instance)
        if unlisted_since_s is None or self._last_result_s is None:
            return 0.0
        return self._last_result_s - unlisted_since_s

    def replace_entries(
        self,
        entries: Iterable[listed_instance.ListedInstance],
        tracked: Iterable[str],
        now_s: float,
    ) -> list[str]:
        """Replace all entries.

        Args:
            entries: All entries of the list.
            tracked: Instances whose absence is measured, in addition to those
                that were listed before.
            now_s: Monotonic time of the result in seconds.

        Returns:
            Sorted instances that are newly leaving or no longer listed.
        """
        self._record_result(now_s)
        previous, self._entries = (
            self._entries,
            {entry.instance: entry for entry in entries},
        )
        absent = (set(previous) | set(tracked)) - set(self._entries)
        self._unlisted_since_s = {
            name: self._unlisted_since_s.get(name, now_s)
            for name in absent | (set(self._unlisted_since_s) & set(tracked))
            if name not in self._entries
        }
        return sorted(
            name
            for name in previous.keys() | self._entries.keys()
            if _is_live(previous.get(name))
            and not _is_live(self.get(name))
            or (name not in previous and not _is_live(self.get(name)))
        )

    def update_entry(
        self,
        instance: str,
        entry: listed_instance.ListedInstance | None,
        now_s: float,
    ) -> list[str]:
        """Replace the entry of one instance.

        Args:
            instance: Name of the instance.
            entry: New entry; None to remove it.
            now_s: Monotonic time of the result in seconds.

        Returns:
            Sorted instances that are newly leaving or no longer listed.
        """
        entries = dict(self._entries)
        entries.pop(instance, None)
        if entry is not None:
            entries[instance] = entry
        tracked = list(self._unlisted_since_s)
        return self.replace_entries(entries.values(), tracked, now_s)

    def record_unchanged(self, now_s: float) -> None:
        """Record a result without a change."""
        self._record_result(now_s)

    def _record_result(self, now_s: float) -> None:
        # After a longer gap it is unknown what was listed in the meantime, so
        # the time without a listing starts again.
        gap_s = now_s - (
            self._last_result_s if self._last_result_s is not None else now_s
        )
        if gap_s > self.max_gap_s:
            self._unlisted_since_s = dict.fromkeys(
                self._unlisted_since_s, now_s
            )
        self._last_result_s = now_s


def _is_live(entry: listed_instance.ListedInstance | None) -> bool:
    return entry is not None and entry.state == "live"
