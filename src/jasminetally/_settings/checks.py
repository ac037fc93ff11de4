"""Checks shared by the settings files and the manifest.

Each check carries a text that says what it accepts, so that a fault can be
reported with the remedy and not only with a rule's name.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
import ipaddress
import math
import re
import reprlib
from typing import Any

import voluptuous as vol

from jasminetally import _errors
from jasminetally._settings import fault

# Names become parts of object keys and of URLs, so they have no slash.
NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")
NAME_ACCEPTED = "1 to 63 letters, digits, '.', '_' or '-' (quote yes, no, on)"

# Tokens are summed over budgets; the limit keeps each sum exact in a double.
MAX_TOP_UP_TOKENS = 1_000_000_000_000

_MISSING = object()
_EXTRA_KEY_MESSAGE = "extra keys not allowed"

Check = Callable[[Any], Any]


class UnknownKeyInvalid(vol.Invalid):
    """A mapping has a key that isn't one of the names in the message."""


def mapping(required: dict[str, Any], optional: dict[str, Any]) -> Check:
    """Return a check of a mapping with fixed keys.

    Args:
        required: Key to check, for keys that must be present.
        optional: Key to check, for keys that may be absent.
    """
    keys: dict[Any, Any] = {
        vol.Required(key): required[key] for key in required
    }
    keys.update({vol.Optional(key): optional[key] for key in optional})
    schema = vol.Schema(keys, extra=vol.PREVENT_EXTRA)
    names = ", ".join(sorted(required.keys() | optional.keys()))

    def check(value: Any) -> Any:
        try:
            return schema(value)
        except vol.MultipleInvalid as exc:
            raise vol.MultipleInvalid(
                [
                    UnknownKeyInvalid(names, path=error.path)
                    if error.msg == _EXTRA_KEY_MESSAGE
                    else error
                    for error in exc.errors
                ]
            ) from exc

    return check


def list_of(item: Check) -> Check:
    """Return a check of a list.

    A list in voluptuous ends at its first item with a fault inside; this one
    reports the faults of all items.
    """
    schema = vol.Schema(item)

    def check(value: Any) -> list[Any]:
        if not isinstance(value, list):
            raise vol.Invalid("a list")
        checked, errors = [], []
        for index, part in enumerate(value):
            try:
                checked.append(schema(part))
            except vol.MultipleInvalid as exc:
                exc.prepend([index])
                errors += exc.errors
        if errors:
            raise vol.MultipleInvalid(errors)
        return checked

    return check


def integer(lowest: int, highest: int) -> Check:
    """Return a check for an integer in a closed range."""

    def check(value: Any) -> int:
        if type(value) is not int or not lowest <= value <= highest:
            raise vol.Invalid(f"an integer from {lowest} to {highest}")
        return value

    return check


def number(lowest: float, highest: float, unit: str) -> Check:
    """Return a check for a number in a closed range; the unit is for people."""

    def check(value: Any) -> float:
        good = type(value) in (int, float) and math.isfinite(value)
        if not good or not lowest <= value <= highest:
            raise vol.Invalid(f"a number from {lowest} to {highest} ({unit})")
        return float(value)

    return check


def one_of(*values: str) -> Check:
    """Return a check for one of a few words."""

    def check(value: Any) -> str:
        if not isinstance(value, str) or value not in values:
            raise vol.Invalid(f"one of {', '.join(values)}")
        return value

    return check


def boolean(value: Any) -> bool:
    """Accept true or false."""
    if not isinstance(value, bool):
        raise vol.Invalid("true or false")
    return value


def name(value: Any) -> str:
    """Accept the name of an instance, a client account and the like."""
    if not isinstance(value, str) or not NAME_PATTERN.fullmatch(value):
        raise vol.Invalid(NAME_ACCEPTED)
    return value


def address(value: Any) -> str:
    """Accept an IP number and a port, for example ``127.0.0.1:8080``."""
    if not isinstance(value, str) or not _is_address(value):
        raise vol.Invalid("an IP number and a port, such as 10.0.0.7:8080")
    return value


def optional_address(value: Any) -> str | None:
    """Accept an address or ``none``."""
    if value is None or value == "none":
        return None
    try:
        return address(value)
    except vol.Invalid as exc:
        raise vol.Invalid(f"none, or {exc.msg}") from exc


def validate_content(
    check: Check, content: Any
) -> tuple[Any, list[fault.Fault]]:
    """Check a content and return it with all faults.

    Returns:
        The checked content (unchanged when there are faults) and the faults.
    """
    try:
        return check(content), []
    except vol.MultipleInvalid as exc:
        return content, [
            _fault_from_error(error, content) for error in exc.errors
        ]


def raise_for_faults(file: str, faults: Iterable[fault.Fault]) -> None:
    """Raise ``SettingsError`` with one line for each fault, if any."""
    lines = sorted({found.describe(file) for found in faults})
    if lines:
        raise _errors.SettingsError("\n".join(lines))


def short_repr(value: Any) -> str:
    """Return a short form of a value for a message."""
    return reprlib.repr(value)


def _is_address(value: str) -> bool:
    host, separator, port = value.rpartition(":")
    if host.startswith("[") and host.endswith("]"):
        host = host[1:-1]
    elif ":" in host:
        return False
    if not separator or not re.fullmatch(r"[0-9]{1,5}", port):
        return False
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return False
    return 0 < int(port) < 65536


def _fault_from_error(error: vol.Invalid, content: Any) -> fault.Fault:
    path = tuple(
        part if isinstance(part, int) else str(part) for part in error.path
    )
    value = _value_at(content, error.path)
    if isinstance(error, vol.RequiredFieldInvalid):
        return fault.Fault(path, "no such key", "this key, which is required")
    if isinstance(error, UnknownKeyInvalid):
        return fault.Fault(path, "an unknown key", error.msg)
    accepted = error.msg.replace("expected a dictionary", "a mapping")
    found = "nothing" if value is _MISSING else short_repr(value)
    return fault.Fault(path, found, accepted)


def _value_at(content: Any, path: list[Any]) -> Any:
    for part in path:
        key = part.schema if isinstance(part, vol.Marker) else part
        try:
            content = content[key]
        except (KeyError, IndexError, TypeError):
            return _MISSING
    return content
