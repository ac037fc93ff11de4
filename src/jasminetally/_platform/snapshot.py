"""Result of a list or watch of the platform's store."""

from __future__ import annotations

from typing import NamedTuple

from jasminetally._platform import entry


class Snapshot(NamedTuple):
    """Objects or changes up to one version of the store.

    Attributes:
        entries: Objects that a list found, sorted by key, or changes that a
            watch found, sorted by version.
        version: Version of the whole store that the entries reflect. The next
            watch passes it as ``after_version``, so that it misses no change.
    """

    entries: list[entry.Entry]
    version: int
