"""Object of the platform's store."""

from __future__ import annotations

from typing import NamedTuple


class Entry(NamedTuple):
    """Object of the platform's store at one version.

    Attributes:
        key: Name of the object, parts separated by slashes.
        value: Content; None in a watch result says that it was deleted.
        version: Number that increases over the whole store with each write.
    """

    key: str
    value: bytes | None
    version: int
