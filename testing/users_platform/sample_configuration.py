"""Configurations in the form that the operator stores them."""

from __future__ import annotations

from testing.users_platform import server_standin


def make_configuration(
    version: int, routes: list[dict], client_accounts: list[dict]
) -> dict:
    """Return a configuration with the services ``pool`` and ``app``.

    The service ``pool`` has engines and the service ``app`` has none.
    """
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
        "tenants": client_accounts,
    }


def make_client_account(name: str, key: str, prepaid_tokens: int) -> dict:
    """Return the entry of a client account in a configuration."""
    return {"name": name, "api_keys": [key], "prepaid": prepaid_tokens}


def make_route(
    path_prefix: str,
    kind: str,
    service: str,
    *,
    max_attempts=2,
    resumable=False,
) -> dict:
    """Return the entry of a route in a configuration."""
    return {
        "name": "route" + path_prefix.replace("/", "-"),
        "host": "site.example",
        "path_prefix": path_prefix,
        "kind": kind,
        "timeout_ms": 3_000,
        "target_latency_ms": 300,
        "priority": 1,
        "service": service,
        "max_attempts": max_attempts,
        "public": False,
        "sticky": service == "pool",
        "resumable": resumable,
        "target_gap_ms": 300,
    }


def make_default_routes() -> list[dict]:
    """Return two streaming routes, an unsafe and a safe one.

    Streams of ``/task/`` can be resumed, those of ``/digest/`` can't.
    """
    return [
        make_route("/digest/", "streaming", "pool", max_attempts=1),
        make_route("/task/", "streaming", "pool", resumable=True),
        make_route("/flip/", "unsafe", "app", max_attempts=1),
        make_route("/read/", "safe", "app"),
    ]
