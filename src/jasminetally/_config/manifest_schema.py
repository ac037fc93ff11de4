"""Schema of the manifest file.

The file maps names to declarations. A name can therefore not be declared
twice, and every fault has a key path that an operator can find in the file.
"""

from __future__ import annotations

import datetime
import functools
import re
from typing import Any

import voluptuous as vol

from jasminetally._settings import checks

START_TIME_ACCEPTED = "a UTC time such as 2027-05-01T06:00:00Z"
# Largest integer that JSON parsers which read numbers as doubles keep exactly.
_MAX_REVISION = 2**53 - 1


def start_time(value: Any) -> float:
    """Accept a time whose UTC offset is zero.

    A time without an offset is rejected, because its meaning would depend on
    the time zone of the machine that reads it.

    Returns:
        Seconds since 1970 UTC.

    Raises:
        vol.Invalid: The value is not such a time.
    """
    if isinstance(value, str):
        try:
            value = datetime.datetime.fromisoformat(value)
        except ValueError as exc:
            raise vol.Invalid(START_TIME_ACCEPTED) from exc
    if not isinstance(value, datetime.datetime):
        raise vol.Invalid(START_TIME_ACCEPTED)
    if value.utcoffset() != datetime.timedelta(0):
        raise vol.Invalid(START_TIME_ACCEPTED)
    return value.timestamp()


def key_hash(value: Any) -> str:
    """Accept the SHA-256 of an API key, as 64 lower-case hex digits."""
    if not isinstance(value, str) or not re.fullmatch("[0-9a-f]{64}", value):
        raise vol.Invalid("SHA-256 of a key, 64 lower-case hex digits")
    return value


def version(value: Any) -> str:
    """Accept a version; an integer is converted to text."""
    if type(value) is int:
        return str(value)
    if not isinstance(value, str) or not checks.NAME_PATTERN.fullmatch(value):
        raise vol.Invalid(f"a version: {checks.NAME_ACCEPTED}")
    return value


def _mapping_by_name(declaration: Any) -> dict[Any, Any]:
    return {checks.name: declaration}


def _client_account_schema() -> checks.Check:
    top_up = checks.mapping(
        {
            "id": checks.name,
            "tokens": checks.integer(1, checks.MAX_TOP_UP_TOKENS),
        },
        {},
    )
    budget = checks.mapping({"top_ups": checks.list_of(top_up)}, {})
    return checks.mapping(
        {
            "key_hashes": checks.list_of(key_hash),
            "default_budget": checks.name,
            "budgets": _mapping_by_name(budget),
        },
        {},
    )


def _event_schema() -> checks.Check:
    return checks.mapping(
        {
            "client_account": checks.name,
            "budget": checks.name,
            "start": start_time,
            "default_tier": checks.name,
        },
        {},
    )


def _tier_schema() -> checks.Check:
    return checks.mapping(
        {
            "priority": checks.integer(0, 1_000),
            "limit_s": checks.number(0.01, 86_400, "seconds"),
            "default_max_tokens": checks.integer(1, 1_000_000),
            "kind": checks.one_of("live", "overnight"),
        },
        {},
    )


def _backend_server_schema() -> checks.Check:
    return checks.mapping(
        {
            "kind": checks.one_of("engine", "service"),
            "address": checks.address,
            "data_centre": checks.name,
        },
        {
            "model": checks.name,
            "service": checks.name,
            "checks_fencing": checks.boolean,
            "slots": checks.integer(1, 100_000),
        },
    )


def _order_schema() -> checks.Check:
    return checks.mapping(
        {"model": checks.name, "version": version},
        {
            "adapters": {checks.name: version},
            "role": checks.one_of("mixed", "prefill", "decode"),
        },
    )


@functools.cache
def manifest_schema() -> checks.Check:
    """Return the schema; cached, because compiling it takes milliseconds."""
    model = checks.mapping(
        {"context_tokens": checks.integer(1, 100_000_000)}, {}
    )
    return checks.mapping(
        {
            "revision": checks.integer(1, _MAX_REVISION),
            "based_on": checks.integer(0, _MAX_REVISION),
            "models": _mapping_by_name(model),
            "tiers": _mapping_by_name(_tier_schema()),
            "events": _mapping_by_name(_event_schema()),
            "client_accounts": _mapping_by_name(_client_account_schema()),
            "backend_servers": _mapping_by_name(_backend_server_schema()),
            "orders": _mapping_by_name(_order_schema()),
        },
        {},
    )
