"""Configuration as the operator of the users' platform writes it."""

from __future__ import annotations

from testing.users_platform import server_standin


def make_configuration(
    version: int, routes: list[dict], tenants: list[dict]
) -> dict:
    """Return a configuration with the services ``pool`` and ``app``."""
    return {
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": "pool",
                "max_connections": 100,
                "engine": {
                    "slots": 8,
                    "kv_capacity_tokens": 10**6,
                    "stride": server_standin.TOKENS_PER_EVENT,
                },
            },
            {"name": "app", "max_connections": 100},
        ],
        "limits": {
            "max_header_bytes": 16_384,
            "max_body_bytes": 100_000,
            "header_timeout_ms": 1_000,
            "idle_timeout_ms": 15_000,
        },
        "tenants": tenants,
    }


def make_client_account(name: str, key: str, prepaid: int) -> dict:
    """Return a client account."""
    return {"name": name, "api_keys": [key], "prepaid": prepaid}


def make_route(
    prefix: str, kind: str, service: str, *, attempts=2, resumable=False
) -> dict:
    """Return a route."""
    return {
        "name": "route" + prefix.replace("/", "-"),
        "host": "site.example",
        "path_prefix": prefix,
        "kind": kind,
        "timeout_ms": 3_000,
        "target_latency_ms": 300,
        "priority": 1,
        "service": service,
        "max_attempts": attempts,
        "public": False,
        "sticky": service == "pool",
        "resumable": resumable,
        "target_gap_ms": 300,
    }


def make_default_routes() -> list[dict]:
    """Return one route of each kind."""
    return [
        make_route("/digest/", "streaming", "pool", attempts=1),
        make_route("/task/", "streaming", "pool", resumable=True),
        make_route("/flip/", "unsafe", "app", attempts=1),
        make_route("/read/", "safe", "app"),
    ]
