"""Values that keys have had within the lifetime of a stream."""

from __future__ import annotations

from collections.abc import Collection
from collections.abc import Hashable
from collections.abc import Mapping
from typing import Generic
from typing import TypeVar

K = TypeVar("K", bound=Hashable)

# Longest time from the first event of a stream to its last one, over all
# attempts of its caller.
STREAM_LIFETIME_S = 300.0


class ValueHistory(Generic[K]):
    """Keeps which values each key has had within the lifetime of a stream.

    Keys are services whose servers have versions, or routes that lead to
    services. Performs no I/O.
    """

    def __init__(self) -> None:
        # Monotonic time at which each value was last present; None while it
        # is. Values that have expired are kept, since other routers may still
        # have them stored.
        self._last_present_s: dict[K, dict[str, float | None]] = {}

    def update(
        self, present: Mapping[K, Collection[str]], now_s: float
    ) -> list[K]:
        """Note all values that are present at a time.

        Args:
            present: The values of each key.
            now_s: Monotonic time in seconds.

        Returns:
            Keys that now have several recent values, but had not before.
        """
        before = self._keys_with_several(now_s)
        for key, last_present_s in self._last_present_s.items():
            for value, last_s in last_present_s.items():
                if last_s is None and value not in present.get(key, ()):
                    last_present_s[value] = now_s
        for key, values in present.items():
            last_present_s = self._last_present_s.setdefault(key, {})
            last_present_s.update(dict.fromkeys(values))
        return list(self._keys_with_several(now_s) - before)

    def merge(
        self, stored: Mapping[K, Collection[str]], now_s: float
    ) -> list[K]:
        """Add values that other routers have noted.

        Those that this router has noted itself keep their times.

        Args:
            stored: The values of each key.
            now_s: Monotonic time in seconds.

        Returns:
            Keys that now have several recent values, but had not before.
        """
        before = self._keys_with_several(now_s)
        for key, values in stored.items():
            last_present_s = self._last_present_s.setdefault(key, {})
            for value in values:
                last_present_s.setdefault(value, now_s)
        return list(self._keys_with_several(now_s) - before)

    def values(self, key: K, now_s: float) -> set[str]:
        """Return the recent values of a key.

        Args:
            key: The key.
            now_s: Monotonic time in seconds.
        """
        return {
            value
            for value, last_s in self._last_present_s.get(key, {}).items()
            if last_s is None or now_s - last_s <= STREAM_LIFETIME_S
        }

    def expired_values(self, key: K, now_s: float) -> set[str]:
        """Return the values of a key that are known, but no longer recent.

        Args:
            key: The key.
            now_s: Monotonic time in seconds.
        """
        known = self._last_present_s.get(key, {}).keys()
        return known - self.values(key, now_s)

    def export(self, now_s: float) -> dict[K, list[str]]:
        """Return the sorted recent values of each key that has some."""
        return {
            key: sorted(values)
            for key in self._last_present_s
            if (values := self.values(key, now_s))
        }

    def _keys_with_several(self, now_s: float) -> set[K]:
        return {
            key
            for key, last_present_s in self._last_present_s.items()
            if len(last_present_s) > 1 and len(self.values(key, now_s)) > 1
        }
