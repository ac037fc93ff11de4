"""In-memory object store with the platform's semantics."""

from __future__ import annotations

import threading
from typing import NamedTuple

from jasminetally import _errors
from jasminetally._platform import entry
from jasminetally._platform import snapshot

MAX_VALUE_BYTES = 1_000_000


class MemoryCopy(NamedTuple):
    """State that a store in memory can be restored to."""

    entries: dict[str, entry.Entry]
    version: int


class MemoryPlatform:
    """Implement ``PlatformPort`` in the memory of one process.

    Safe for use by several threads. It has no faults and no rate limits of
    its own; the stand-in server, tests and benchmarks add these around it.
    A deleted object is kept as an entry without a value, so that watches
    report the deletion and no watch raises ``HistoryLostError``.
    """

    era = 0

    def __init__(self) -> None:
        self._changed = threading.Condition()
        self._entries: dict[str, entry.Entry] = {}
        self._version = 0

    def take_copy(self) -> MemoryCopy:
        """Return the present state."""
        with self._changed:
            return MemoryCopy(self._entries.copy(), self._version)

    def restore(self, saved: MemoryCopy) -> None:
        """Return to an earlier state; later versions are given out again."""
        with self._changed:
            self._entries = saved.entries.copy()
            self._version = saved.version
            self.era += 1

    def get(self, key: str) -> entry.Entry:
        """Return an object; raise ``NotFoundError`` if there is none."""
        with self._changed:
            stored = self._entries.get(key)
        if stored is None or stored.value is None:
            raise _errors.NotFoundError(f"object {key!r} does not exist")
        return stored

    def list(
        self, prefix: str, *, allow_stale: bool = False
    ) -> snapshot.Snapshot:
        """Return all objects whose key starts with the prefix."""
        del allow_stale  # Reads always return the latest state.
        with self._changed:
            entries = [
                self._entries[key]
                for key in sorted(self._entries)
                if key.startswith(prefix)
                and self._entries[key].value is not None
            ]
            return snapshot.Snapshot(entries, self._version)

    def create(self, key: str, value: bytes) -> int:
        """Create an object; see ``PlatformPort.create``."""
        with self._changed:
            stored = self._entries.get(key)
            if stored is not None and stored.value is not None:
                raise _errors.VersionConflictError(
                    f"object {key!r} already exists at version {stored.version}"
                )
            return self._write_entry(key, value)

    def update(self, key: str, value: bytes, *, expected_version: int) -> int:
        """Replace an object; see ``PlatformPort.update``."""
        with self._changed:
            self._check_version(key, expected_version)
            return self._write_entry(key, value)

    def delete(self, key: str, *, expected_version: int) -> None:
        """Delete an object; see ``PlatformPort.delete``."""
        with self._changed:
            self._check_version(key, expected_version)
            self._write_entry(key, None)

    def watch(
        self, prefix: str, *, after_version: int, timeout_s: float
    ) -> snapshot.Snapshot:
        """Wait for changes under a prefix; see ``PlatformPort.watch``."""
        with self._changed:
            self._changed.wait_for(
                lambda: self._changes_since(prefix, after_version), timeout_s
            )
            return snapshot.Snapshot(
                self._changes_since(prefix, after_version), self._version
            )

    def distrust_connections(self) -> None:
        """Do nothing; there are no connections."""

    def _changes_since(
        self, prefix: str, after_version: int
    ) -> list[entry.Entry]:
        changes = [
            item
            for key, item in self._entries.items()
            if item.version > after_version and key.startswith(prefix)
        ]
        return sorted(changes, key=lambda change: change.version)

    def _check_version(self, key: str, expected_version: int) -> None:
        stored = self._entries.get(key)
        if stored is None or stored.value is None:
            raise _errors.VersionConflictError(
                f"object {key!r} does not exist, "
                f"expected version {expected_version}"
            )
        if stored.version != expected_version:
            raise _errors.VersionConflictError(
                f"object {key!r} is at version {stored.version}, "
                f"expected version {expected_version}"
            )

    def _write_entry(self, key: str, value: bytes | None) -> int:
        if value is not None and len(value) > MAX_VALUE_BYTES:
            raise _errors.PlatformError(
                f"object {key!r} has {len(value)} bytes; "
                f"at most {MAX_VALUE_BYTES} are accepted"
            )
        self._version += 1
        self._entries[key] = entry.Entry(key, value, self._version)
        self._changed.notify_all()
        return self._version
