"""Events about the platform's list of instances."""

from __future__ import annotations

import dataclasses

from jasminetally._membership import listed_instance


@dataclasses.dataclass(frozen=True)
class ListRead:
    """The complete list was read.

    Attributes:
        entries: All entries of the list.
    """

    entries: tuple[listed_instance.ListedInstance, ...]


@dataclasses.dataclass(frozen=True)
class ListEntryChanged:
    """A watch reported the change of one entry.

    Attributes:
        instance: Name of the instance.
        entry: New entry; None if the entry was removed.
    """

    instance: str
    entry: listed_instance.ListedInstance | None


@dataclasses.dataclass(frozen=True)
class ListUnchanged:
    """A watch of the list ended without a change."""
