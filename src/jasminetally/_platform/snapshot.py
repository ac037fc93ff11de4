"""Objects of the platform's store as of one version."""

from __future__ import annotations

from typing import NamedTuple

from jasminetally._platform import entry


class Snapshot(NamedTuple):
    """Objects or changes as of one version of the store.

    Attributes:
        entries: The objects of a list, by key, or the changes of a watch, by
            version.
        version: Version of the whole store that the entries reflect; a watch
            continues from it.
    """

    entries: list[entry.Entry]
    version: int
