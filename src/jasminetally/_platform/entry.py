"""Object in the platform's store."""

from __future__ import annotations

from typing import NamedTuple


class Entry(NamedTuple):
    """Object in the platform's store at one version.

    Attributes:
        key: Name of the object; its parts are separated by slashes.
        value: Content; None in the result of a watch means that the object
            was deleted.
        version: Version of the store after the write that stored or deleted
            the object. It increases with each write to any object.
    """

    key: str
    value: bytes | None
    version: int
