"""Differences between two manifests."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any
from typing import NamedTuple

import msgspec

from jasminetally._config import manifest
from jasminetally._settings import checks


class Difference(NamedTuple):
    """Place in which two manifests differ.

    Attributes:
        path: Key path as in the manifest file.
        recorded: Value in the recorded manifest, or ``nothing``.
        offered: Value in the offered manifest, or ``nothing``.
    """

    path: str
    recorded: str
    offered: str

    def describe(self) -> str:
        """Return the difference as one line."""
        return f"{self.path}: recorded {self.recorded}, yours {self.offered}"


def find_differences(
    recorded: manifest.Manifest, offered: manifest.Manifest
) -> list[Difference]:
    """Return the differences except for the revisions, by key path."""
    found = _compare("", _plain(recorded), _plain(offered))
    return [
        difference
        for difference in found
        if difference.path not in ("revision", "based_on")
    ]


def _plain(value: Any) -> Any:
    if isinstance(value, tuple) and hasattr(value, "_asdict"):
        return {key: _plain(part) for key, part in value._asdict().items()}
    if isinstance(value, dict):
        return {key: _plain(part) for key, part in value.items()}
    if isinstance(value, tuple | list):
        parts = [_plain(part) for part in value]
        if parts and all(isinstance(part, dict) for part in parts):
            return {part["id"]: part for part in parts}
        return parts
    return msgspec.to_builtins(value)


def _compare(path: str, recorded: Any, offered: Any) -> Iterator[Difference]:
    if recorded == offered:
        return
    if not isinstance(recorded, dict) or not isinstance(offered, dict):
        yield Difference(
            path, checks.shorten(recorded), checks.shorten(offered)
        )
        return
    for key in sorted(recorded.keys() | offered.keys()):
        below = f"{path}.{key}" if path else key
        if key not in offered:
            yield Difference(below, checks.shorten(recorded[key]), "nothing")
        elif key not in recorded:
            yield Difference(below, "nothing", checks.shorten(offered[key]))
        else:
            yield from _compare(below, recorded[key], offered[key])
