"""Reading of YAML files that operators and build pipelines write."""

from __future__ import annotations

from collections.abc import Hashable
import pathlib
from typing import Any

import yaml

from jasminetally import _errors

MAX_FILE_BYTES = 64_000_000

# The C parser of PyYAML reads a large manifest several times faster than its
# Python parser, but not every build of PyYAML has it.
_BASE_LOADER = getattr(yaml, "CSafeLoader", yaml.SafeLoader)


class UniqueKeyLoader(_BASE_LOADER):
    """Safe YAML loader that rejects duplicate keys in a mapping.

    PyYAML silently keeps the last of two equal keys, so a client account that
    is declared twice would lose the budgets of its first declaration.
    """


def read_mapping(path: str) -> dict[Any, Any]:
    """Read a YAML file and return the mapping at its top level.

    Args:
        path: Path of the file.

    Returns:
        The content; its keys and values are not yet checked.

    Raises:
        SettingsError: The file can't be read, is larger than
            ``MAX_FILE_BYTES``, isn't valid YAML, or its top level isn't a
            mapping.
    """
    try:
        data = pathlib.Path(path).read_bytes()
    except OSError as exc:
        raise _errors.SettingsError(
            f"{path}: cannot be read: {exc.strerror or exc}"
        ) from exc
    return parse_mapping(data, path)


def parse_mapping(data: bytes, path: str) -> dict[Any, Any]:
    """Parse a YAML document and return the mapping at its top level.

    Args:
        data: Content of the file, in UTF-8.
        path: Path of the file, for messages.

    Returns:
        The content; its keys and values are not yet checked.

    Raises:
        SettingsError: The document is larger than ``MAX_FILE_BYTES``, isn't
            valid YAML, or its top level isn't a mapping.
    """
    if len(data) > MAX_FILE_BYTES:
        raise _errors.SettingsError(
            f"{path}: found {len(data)} bytes; accepted: at most "
            f"{MAX_FILE_BYTES} bytes"
        )
    try:
        # S506 forbids unsafe loaders; UniqueKeyLoader derives from a safe one.
        content = yaml.load(data, Loader=UniqueKeyLoader)  # noqa: S506
    except yaml.YAMLError as exc:
        raise _errors.SettingsError(_describe_yaml_error(exc, path)) from exc
    except (RecursionError, ValueError) as exc:
        # PyYAML raises ValueError for a value that it can't convert, for
        # example a date with month 13, and RecursionError for deep nesting.
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


def _describe_yaml_error(exc: yaml.YAMLError, path: str) -> str:
    mark = getattr(exc, "problem_mark", None)
    problem = getattr(exc, "problem", None) or str(exc).splitlines()[0]
    place = f" line {mark.line + 1}, column {mark.column + 1}:" if mark else ""
    return f"{path}:{place} found invalid YAML ({problem}); accepted: YAML 1.1"


def _construct_unique_mapping(
    loader: UniqueKeyLoader, node: yaml.MappingNode
) -> dict[Any, Any]:
    """Construct a mapping; raise ``ConstructorError`` for a duplicate key.

    Unhashable keys are skipped here; ``construct_mapping`` rejects them.
    """
    seen_keys = set()
    for key_node, _ in node.value:
        key = loader.construct_object(key_node, deep=True)
        if not isinstance(key, Hashable):
            continue
        if key in seen_keys:
            raise yaml.constructor.ConstructorError(
                problem=f"key {key!r} twice in one mapping",
                problem_mark=key_node.start_mark,
            )
        seen_keys.add(key)
    loader.flatten_mapping(node)
    return loader.construct_mapping(node, deep=True)


UniqueKeyLoader.add_constructor(
    yaml.resolver.BaseResolver.DEFAULT_MAPPING_TAG, _construct_unique_mapping
)
