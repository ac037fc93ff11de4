"""Objects of the store under a prefix, with their latest changes."""

from __future__ import annotations

import collections
from collections.abc import Iterable

from jasminetally._platform import entry
from jasminetally._platform import snapshot

# Changes that are kept. A router that is further behind gets all objects.
MAX_CHANGES = 4096


class ChangeLog:
    """Knows all objects under a prefix and tells what has changed since when.

    Performs no I/O. A router that follows the store fills it and answers others
    from it, so that they need not call the store.

    Attributes:
        version: Version of the store up to which it is complete; 0 if nothing
            is known yet.
        changed_version: Version of the last result that contained changes.
    """

    def __init__(self) -> None:
        self.version = 0
        self.changed_version = 0
        self._objects: dict[str, entry.Entry] = {}
        # Changes with the version of the result that contained them.
        self._changes: collections.deque[tuple[int, entry.Entry]]
        self._changes = collections.deque()
        # Changes after this version are all kept.
        self._kept_after = 0

    def on_listed(self, result: snapshot.Snapshot) -> None:
        """Replace all objects by those of a list."""
        self._objects = {found.key: found for found in result.entries}
        self._changes.clear()
        self._kept_after = result.version
        self.version = self.changed_version = result.version

    def on_changed(self, result: snapshot.Snapshot) -> None:
        """Apply the changes that a watch found, which may be none."""
        for found in result.entries:
            if found.value is None:
                self._objects.pop(found.key, None)
            else:
                self._objects[found.key] = found
            self._changes.append((result.version, found))
        while len(self._changes) > MAX_CHANGES:
            self._kept_after, _ = self._changes.popleft()
        self.version = max(self.version, result.version)
        if result.entries:
            self.changed_version = self.version

    def changes_since(self, version: int) -> list[entry.Entry] | None:
        """Return the changes after a version of the store, the oldest first.

        Some of them may be older. The last one of each object is right as of
        ``version`` of this log.

        Args:
            version: Version of the store.

        Returns:
            The changes; None if they are no longer known.
        """
        if not self.version or version < self._kept_after:
            return None
        return [found for after, found in self._changes if after > version]

    def objects(self) -> Iterable[entry.Entry]:
        """Return all objects."""
        return self._objects.values()
