"""Schemas of the settings files of routers and stand-ins."""

from __future__ import annotations

from jasminetally._settings import checks

_LIMITS_SCHEMA = checks.mapping(
    {},
    {
        "max_connections": checks.integer(1, 100_000),
        "max_requests_in_flight": checks.integer(1, 100_000),
        "max_body_bytes": checks.integer(1_000, 64_000_000),
        "max_header_bytes": checks.integer(1_000, 1_000_000),
        "drain_timeout_s": checks.number(1, 86_400, "seconds"),
    },
)

_FAULTS_SCHEMA = checks.mapping(
    {},
    {
        "seed": checks.integer(0, 2**63 - 1),
        "delay_s": checks.number(0, 3_600, "seconds"),
        "refuse_fraction": checks.number(0, 1, "fraction of the calls"),
        "lose_reply_fraction": checks.number(0, 1, "fraction of the calls"),
        "silent_fraction": checks.number(0, 1, "fraction of the connections"),
    },
)


def router_schema() -> checks.Check:
    """Return the check of the settings of a router."""
    return checks.mapping(
        {
            "instance": checks.name,
            "data_centre": checks.name,
            "http_address": checks.address,
            "peer_address": checks.address,
            "platform_address": checks.address,
        },
        {
            "statsd_address": checks.optional_address,
            "log_format": checks.one_of("readable", "json"),
            "limits": _LIMITS_SCHEMA,
        },
    )


def standin_schema() -> checks.Check:
    """Return the check of the settings of a stand-in."""
    return checks.mapping(
        {
            "kind": checks.one_of("platform", "engine", "service"),
            "name": checks.name,
            "address": checks.address,
        },
        {
            "data_centre": checks.name,
            "model": checks.name,
            "checks_fencing": checks.boolean,
            "step_s": checks.number(0, 60, "seconds"),
            "slots": checks.integer(1, 10_000),
            "reads_per_s": checks.number(1, 1_000_000, "calls per second"),
            "writes_per_s": checks.number(1, 1_000_000, "calls per second"),
            "list_lag_s": checks.number(0, 3_600, "seconds"),
            "faults": _FAULTS_SCHEMA,
        },
    )
