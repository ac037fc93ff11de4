"""The platform's list of instances, with how long a name is missing."""

from __future__ import annotations

from collections.abc import Iterable

from jasminetally._membership import listed_instance


class Listing:
    """The list as last seen; it lags behind the instances.

    Times are those of results from the list, never the time of asking, so
    that a pause of this process or an outage of the platform doesn't count
    as time in which an instance was not listed.

    Attributes:
        gap_limit_s: Longest pause between two results; see ``__init__``.
    """

    def __init__(self, *, gap_limit_s: float) -> None:
        """Prepare an empty list.

        Args:
            gap_limit_s: Longest pause between two results, in seconds, over
                which a missing name counts as missing.
        """
        self.gap_limit_s = gap_limit_s
        self._entries: dict[str, listed_instance.ListedInstance] = {}
        self._seen_s: float | None = None
        self._missing_since_s: dict[str, float] = {}

    def get(self, instance: str) -> listed_instance.ListedInstance | None:
        """Return the entry of an instance, or None."""
        return self._entries.get(instance)

    @property
    def known(self) -> bool:
        """Whether the list was ever read."""
        return self._seen_s is not None

    def unlisted_s(self, instance: str) -> float:
        """Return the seconds over which results did not name an instance."""
        since_s = self._missing_since_s.get(instance)
        if since_s is None or self._seen_s is None:
            return 0.0
        return self._seen_s - since_s

    def replace(
        self,
        entries: Iterable[listed_instance.ListedInstance],
        followed: Iterable[str],
        now_s: float,
    ) -> list[str]:
        """Take the whole list.

        Args:
            entries: All entries.
            followed: Instances whose absence matters, beside those that were
                listed before.
            now_s: Time of the result, monotonic seconds.

        Returns:
            Instances that became leaving or were dropped from the list.
        """
        self._note_result(now_s)
        earlier, self._entries = (
            self._entries,
            {entry.instance: entry for entry in entries},
        )
        absent = (set(earlier) | set(followed)) - set(self._entries)
        self._missing_since_s = {
            name: self._missing_since_s.get(name, now_s)
            for name in absent | (set(self._missing_since_s) & set(followed))
            if name not in self._entries
        }
        return sorted(
            name
            for name in earlier.keys() | self._entries.keys()
            if _is_live(earlier.get(name))
            and not _is_live(self.get(name))
            or (name not in earlier and not _is_live(self.get(name)))
        )

    def set(
        self,
        instance: str,
        entry: listed_instance.ListedInstance | None,
        now_s: float,
    ) -> list[str]:
        """Take one change; return what ``replace`` returns."""
        entries = dict(self._entries)
        entries.pop(instance, None)
        if entry is not None:
            entries[instance] = entry
        followed = list(self._missing_since_s)
        return self.replace(entries.values(), followed, now_s)

    def touch(self, now_s: float) -> None:
        """Note a result that says that nothing has changed."""
        self._note_result(now_s)

    def _note_result(self, now_s: float) -> None:
        gap_s = now_s - (self._seen_s if self._seen_s is not None else now_s)
        if gap_s > self.gap_limit_s:
            self._missing_since_s = dict.fromkeys(self._missing_since_s, now_s)
        self._seen_s = now_s


def _is_live(entry: listed_instance.ListedInstance | None) -> bool:
    return entry is not None and entry.state == "live"
