"""Events of the instance view that come from the platform's list."""

from __future__ import annotations

import dataclasses

from jasminetally._membership import listed_instance


@dataclasses.dataclass(frozen=True)
class ListRead:
    """The whole list was read.

    Attributes:
        entries: All entries.
    """

    entries: tuple[listed_instance.ListedInstance, ...]


@dataclasses.dataclass(frozen=True)
class ListEntryChanged:
    """A watch has reported one change of the list.

    Attributes:
        instance: Name of the instance.
        entry: New entry; None if the list names the instance no longer.
    """

    instance: str
    entry: listed_instance.ListedInstance | None


@dataclasses.dataclass(frozen=True)
class ListUnchanged:
    """A watch of the list has ended without a change."""
