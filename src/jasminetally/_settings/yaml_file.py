"""Reading of YAML files that operators and build pipelines write."""

from __future__ import annotations

from collections.abc import Hashable
import pathlib
from typing import Any

import yaml

from jasminetally import _errors

MAX_FILE_BYTES = 64_000_000

# The C parser reads a large manifest several times faster than the Python one.
_BASE_LOADER = getattr(yaml, "CSafeLoader", yaml.SafeLoader)


class UniqueKeyLoader(_BASE_LOADER):
    """Loader that rejects a mapping with the same key twice.

    PyYAML keeps the last of two equal keys without a word, so a client
    account that was declared twice would lose its first budgets.
    """


def read_mapping(path: str) -> dict[Any, Any]:
    """Return the mapping at the top level of a YAML file.

    Args:
        path: Name of the file.

    Returns:
        The content, with keys and values not yet checked.

    Raises:
        SettingsError: The file can't be read, isn't YAML, or holds something
            other than a mapping.
    """
    try:
        data = pathlib.Path(path).read_bytes()
    except OSError as exc:
        raise _errors.SettingsError(
            f"{path}: cannot be read: {exc.strerror or exc}"
        ) from exc
    return parse_mapping(data, path)


def parse_mapping(data: bytes, path: str) -> dict[Any, Any]:
    """Return the mapping at the top level of a YAML text.

    Args:
        data: Content of the file, UTF-8.
        path: Name of the file, for messages.

    Raises:
        SettingsError: The text isn't YAML or isn't a mapping.
    """
    if len(data) > MAX_FILE_BYTES:
        raise _errors.SettingsError(
            f"{path}: found {len(data)} bytes; accepted: at most "
            f"{MAX_FILE_BYTES}"
        )
    try:
        # UniqueKeyLoader derives from the safe loader.
        content = yaml.load(data, Loader=UniqueKeyLoader)  # noqa: S506
    except yaml.YAMLError as exc:
        raise _errors.SettingsError(_describe(exc, path)) from exc
    except (RecursionError, ValueError) as exc:
        # ValueError: for example a date with month 13.
        raise _errors.SettingsError(
            f"{path}: found a value that cannot be read ({exc}); "
            "accepted: YAML 1.1"
        ) from exc
    if not isinstance(content, dict):
        raise _errors.SettingsError(
            f"{path}: top level: found {type(content).__name__}; "
            "accepted: a mapping"
        )
    return content


def _describe(exc: yaml.YAMLError, path: str) -> str:
    mark = getattr(exc, "problem_mark", None)
    problem = getattr(exc, "problem", None) or str(exc).splitlines()[0]
    place = f" line {mark.line + 1}, column {mark.column + 1}:" if mark else ""
    return f"{path}:{place} found {problem}; accepted: YAML 1.1"


def _construct_unique_mapping(
    loader: UniqueKeyLoader, node: yaml.MappingNode
) -> dict[Any, Any]:
    seen = set()
    for key_node, _ in node.value:
        key = loader.construct_object(key_node, deep=True)
        if not isinstance(key, Hashable):
            continue
        if key in seen:
            raise yaml.constructor.ConstructorError(
                problem=f"key {key!r} twice in one mapping",
                problem_mark=key_node.start_mark,
            )
        seen.add(key)
    loader.flatten_mapping(node)
    return loader.construct_mapping(node, deep=True)


UniqueKeyLoader.add_constructor(
    yaml.resolver.BaseResolver.DEFAULT_MAPPING_TAG, _construct_unique_mapping
)
