"""Differences between two manifests."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any
from typing import NamedTuple

import msgspec

from jasminetally._config import manifest
from jasminetally._settings import checks


class Difference(NamedTuple):
    """Value that differs between two manifests.

    Attributes:
        path: Path of keys in the manifest file, joined by dots.
        recorded: Value in the recorded manifest, shortened; ``nothing`` if
            the key is missing there.
        offered: Value in the offered manifest, likewise.
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
    """Return the differences, sorted by key path.

    ``revision`` and ``based_on`` are left out, as they differ in any two
    manifests that compete for a revision.

    Args:
        recorded: Manifest in ``config/current``.
        offered: Manifest to apply.
    """
    differences = _compare_values("", _to_plain(recorded), _to_plain(offered))
    return [
        difference
        for difference in differences
        if difference.path not in ("revision", "based_on")
    ]


def _to_plain(value: Any) -> Any:
    """Return a value as nested mappings; top-ups are keyed by their id."""
    if isinstance(value, tuple) and hasattr(value, "_asdict"):
        return {key: _to_plain(item) for key, item in value._asdict().items()}
    if isinstance(value, dict):
        return {key: _to_plain(item) for key, item in value.items()}
    if isinstance(value, tuple | list):
        items = [_to_plain(item) for item in value]
        if items and all(isinstance(item, dict) for item in items):
            return {item["id"]: item for item in items}
        return items
    return msgspec.to_builtins(value)


def _compare_values(
    path: str, recorded: Any, offered: Any
) -> Iterator[Difference]:
    if recorded == offered:
        return
    if not isinstance(recorded, dict) or not isinstance(offered, dict):
        yield Difference(
            path, checks.short_repr(recorded), checks.short_repr(offered)
        )
        return
    for key in sorted(recorded.keys() | offered.keys()):
        key_path = f"{path}.{key}" if path else key
        if key not in offered:
            yield Difference(
                key_path, checks.short_repr(recorded[key]), "nothing"
            )
        elif key not in recorded:
            yield Difference(
                key_path, "nothing", checks.short_repr(offered[key])
            )
        else:
            yield from _compare_values(key_path, recorded[key], offered[key])
