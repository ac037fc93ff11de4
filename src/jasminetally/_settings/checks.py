"""Value checks shared by the schemas of the settings files and the manifest.

A check is a voluptuous validator: it returns the checked value or raises
``vol.Invalid``. The message of the exception states the accepted values, so
that an operator can correct the file without reading the schema.
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

# Names become parts of object keys and URLs, so they can't contain a slash.
NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")
# YAML 1.1 reads an unquoted yes, no or on as a boolean.
NAME_ACCEPTED = (
    "1 to 63 letters, digits, '.', '_' or '-', starting with a letter or "
    "digit (put yes, no and on in quotes)"
)

# Tokens are summed over budgets; with this limit, each sum is represented
# exactly in a double.
MAX_TOP_UP_TOKENS = 1_000_000_000_000

_MISSING = object()
# Message of voluptuous for a key that isn't in the schema.
_EXTRA_KEY_MESSAGE = "extra keys not allowed"

Check = Callable[[Any], Any]


class UnknownKeyInvalid(vol.Invalid):
    """A mapping has an unknown key; the message lists the accepted keys."""


def mapping(required: dict[str, Any], optional: dict[str, Any]) -> Check:
    """Return a check for a mapping with a fixed set of keys.

    Args:
        required: Required keys, each with the check of its value.
        optional: Optional keys, each with the check of its value.
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


def list_of(item_check: Check) -> Check:
    """Return a check for a list whose items all pass a check.

    The list schema of voluptuous stops at the first invalid item; this check
    reports the faults of all items.
    """
    schema = vol.Schema(item_check)

    def check(value: Any) -> list[Any]:
        if not isinstance(value, list):
            raise vol.Invalid("a list")
        checked, errors = [], []
        for index, item in enumerate(value):
            try:
                checked.append(schema(item))
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
    """Return a check for a finite number in a closed range.

    Args:
        lowest: Lowest accepted number.
        highest: Highest accepted number.
        unit: Unit of the number; used only in the message.

    Returns:
        A check that returns the number as a float.
    """

    def check(value: Any) -> float:
        is_finite = type(value) in (int, float) and math.isfinite(value)
        if not is_finite or not lowest <= value <= highest:
            raise vol.Invalid(f"a number from {lowest} to {highest} ({unit})")
        return float(value)

    return check


def one_of(*values: str) -> Check:
    """Return a check for one of the given strings."""

    def check(value: Any) -> str:
        if not isinstance(value, str) or value not in values:
            raise vol.Invalid(f"one of {', '.join(values)}")
        return value

    return check


def boolean(value: Any) -> bool:
    """Accept a boolean."""
    if not isinstance(value, bool):
        raise vol.Invalid("true or false")
    return value


def name(value: Any) -> str:
    """Accept a name, for example of an instance or a client account."""
    if not isinstance(value, str) or not NAME_PATTERN.fullmatch(value):
        raise vol.Invalid(NAME_ACCEPTED)
    return value


def address(value: Any) -> str:
    """Accept an IP address and a port, for example ``127.0.0.1:8080``.

    An IPv6 address is in brackets, for example ``[::1]:8080``. Host names and
    port 0 are rejected.
    """
    if not isinstance(value, str) or not _is_address(value):
        raise vol.Invalid("an IP address and a port, such as 10.0.0.7:8080")
    return value


def optional_address(value: Any) -> str | None:
    """Accept an address, ``none`` or null; return None for the last two."""
    if value is None or value == "none":
        return None
    try:
        return address(value)
    except vol.Invalid as exc:
        raise vol.Invalid(f"none, or {exc.msg}") from exc


def validate_content(
    check: Check, content: Any
) -> tuple[Any, list[fault.Fault]]:
    """Check the content of a file and return it with all faults.

    Args:
        check: Check of the top level of the file.
        content: Content as read from YAML.

    Returns:
        The content as the check returned it, or the given content if it has
        faults; and the faults.
    """
    try:
        return check(content), []
    except vol.MultipleInvalid as exc:
        return content, [
            _fault_from_error(error, content) for error in exc.errors
        ]


def raise_for_faults(file: str, faults: Iterable[fault.Fault]) -> None:
    """Raise an error that lists the faults, if there are any.

    Args:
        file: Name of the file, for the message.
        faults: Faults of the file; duplicates are reported once.

    Raises:
        SettingsError: There are faults; the message has one line for each.
    """
    lines = sorted({item.describe(file) for item in faults})
    if lines:
        raise _errors.SettingsError("\n".join(lines))


def short_repr(value: Any) -> str:
    """Return the ``repr`` of a value, truncated for use in a message."""
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
    key_path = tuple(
        part if isinstance(part, int) else str(part) for part in error.path
    )
    value = _value_at(content, error.path)
    if isinstance(error, vol.RequiredFieldInvalid):
        return fault.Fault(
            key_path, "no such key", "this key, which is required"
        )
    if isinstance(error, UnknownKeyInvalid):
        return fault.Fault(key_path, "an unknown key", error.msg)
    # Replaces the term of voluptuous by the YAML term, which operators use.
    accepted = error.msg.replace("expected a dictionary", "a mapping")
    found = "nothing" if value is _MISSING else short_repr(value)
    return fault.Fault(key_path, found, accepted)


def _value_at(content: Any, key_path: list[Any]) -> Any:
    for part in key_path:
        key = part.schema if isinstance(part, vol.Marker) else part
        try:
            content = content[key]
        except (KeyError, IndexError, TypeError):
            return _MISSING
    return content
