"""The platform's list of instances, with how long a name is missing."""

from __future__ import annotations

from collections.abc import Iterable

from jasminetally._membership import listed_instance


class InstanceList:
    """The list as last seen; it lags behind the instances.

    Times are those of results from the list, never the time of asking, so
    that a pause of this process or an outage of the platform doesn't count
    as time in which an instance was not listed.

    Attributes:
        max_gap_s: Longest pause between two results; see ``__init__``.
    """

    def __init__(self, *, max_gap_s: float) -> None:
        """Prepare an empty list.

        Args:
            max_gap_s: Longest pause between two results, in seconds, over
                which a missing name counts as missing.
        """
        self.max_gap_s = max_gap_s
        self._entries: dict[str, listed_instance.ListedInstance] = {}
        self._last_result_s: float | None = None
        self._unlisted_since_s: dict[str, float] = {}

    def get(self, instance: str) -> listed_instance.ListedInstance | None:
        """Return the entry of an instance, or None."""
        return self._entries.get(instance)

    @property
    def has_been_read(self) -> bool:
        """Whether the list was ever read."""
        return self._last_result_s is not None

    def unlisted_s(self, instance: str) -> float:
        """Return the seconds over which results did not name an instance."""
        since_s = self._unlisted_since_s.get(instance)
        if since_s is None or self._last_result_s is None:
            return 0.0
        return self._last_result_s - since_s

    def replace_entries(
        self,
        entries: Iterable[listed_instance.ListedInstance],
        tracked: Iterable[str],
        now_s: float,
    ) -> list[str]:
        """Take the whole list.

        Args:
            entries: All entries.
            tracked: Instances whose absence matters, beside those that were
                listed before.
            now_s: Time of the result, monotonic seconds.

        Returns:
            Instances that became leaving or were dropped from the list.
        """
        self._record_result(now_s)
        earlier, self._entries = (
            self._entries,
            {entry.instance: entry for entry in entries},
        )
        absent = (set(earlier) | set(tracked)) - set(self._entries)
        self._unlisted_since_s = {
            name: self._unlisted_since_s.get(name, now_s)
            for name in absent | (set(self._unlisted_since_s) & set(tracked))
            if name not in self._entries
        }
        return sorted(
            name
            for name in earlier.keys() | self._entries.keys()
            if _is_live(earlier.get(name))
            and not _is_live(self.get(name))
            or (name not in earlier and not _is_live(self.get(name)))
        )

    def update_entry(
        self,
        instance: str,
        entry: listed_instance.ListedInstance | None,
        now_s: float,
    ) -> list[str]:
        """Take one change; return what ``replace_entries`` returns."""
        entries = dict(self._entries)
        entries.pop(instance, None)
        if entry is not None:
            entries[instance] = entry
        tracked = list(self._unlisted_since_s)
        return self.replace_entries(entries.values(), tracked, now_s)

    def record_unchanged(self, now_s: float) -> None:
        """Note a result that says that nothing has changed."""
        self._record_result(now_s)

    def _record_result(self, now_s: float) -> None:
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
