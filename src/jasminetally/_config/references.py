"""Checks of references and unique values across the parts of a manifest.

They run on the parsed content even if the schema check found faults, so that
one run reports all of them. Values of the wrong type are skipped here, because
the schema check reports them.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

from jasminetally._settings import checks
from jasminetally._settings import fault


def check_references(content: dict[Any, Any]) -> list[fault.Fault]:
    """Return the faults across the parts of a manifest.

    Args:
        content: Parsed content of the manifest file.
    """
    return [
        *_check_revision(content),
        *_check_client_accounts(content),
        *_check_events(content),
        *_check_backend_servers(content),
        *_check_orders(content),
    ]


def _check_revision(content: dict[Any, Any]) -> Iterator[fault.Fault]:
    revision, based_on = content.get("revision"), content.get("based_on")
    if type(revision) is not int or type(based_on) is not int:
        return
    if revision <= based_on:
        yield fault.Fault(
            ("revision",),
            str(revision),
            f"a number above based_on, which is {based_on}",
        )


def _check_client_accounts(content: dict[Any, Any]) -> Iterator[fault.Fault]:
    account_of_hash: dict[str, str] = {}
    for account, declared in _iter_declared(content, "client_accounts"):
        path = ("client_accounts", account)
        budgets = _mapping_or_empty(declared.get("budgets"))
        default = declared.get("default_budget")
        if isinstance(default, str) and default not in budgets:
            yield _undeclared_fault((*path, "default_budget"), default, budgets)
        for index, key_hash in enumerate(
            _list_or_empty(declared.get("key_hashes"))
        ):
            if not isinstance(key_hash, str):
                continue
            if key_hash in account_of_hash:
                yield fault.Fault(
                    (*path, "key_hashes", index),
                    f"a key hash that {account_of_hash[key_hash]} has",
                    "a key hash that no client account has",
                )
            account_of_hash.setdefault(key_hash, account)
        for budget, declared_budget in _iter_declared(declared, "budgets"):
            yield from _check_top_ups(
                (*path, "budgets", budget, "top_ups"), declared_budget
            )


def _check_top_ups(
    path: tuple[str | int, ...], declared_budget: dict[Any, Any]
) -> Iterator[fault.Fault]:
    seen = set()
    for index, top_up in enumerate(
        _list_or_empty(declared_budget.get("top_ups"))
    ):
        top_up_id = _mapping_or_empty(top_up).get("id")
        if not isinstance(top_up_id, str):
            continue
        if top_up_id in seen:
            yield fault.Fault(
                (*path, index, "id"),
                checks.short_repr(top_up_id),
                "an id that no other top-up of this budget has",
            )
        seen.add(top_up_id)


def _check_events(content: dict[Any, Any]) -> Iterator[fault.Fault]:
    accounts = _mapping_or_empty(content.get("client_accounts"))
    tiers = _mapping_or_empty(content.get("tiers"))
    for name, event in _iter_declared(content, "events"):
        path = ("events", name)
        yield from _check_reference(path, event, "default_tier", tiers)
        account = event.get("client_account")
        yield from _check_reference(path, event, "client_account", accounts)
        if isinstance(account, str) and account in accounts:
            budgets = _mapping_or_empty(
                _mapping_or_empty(accounts[account]).get("budgets")
            )
            yield from _check_reference(path, event, "budget", budgets)


def _check_backend_servers(content: dict[Any, Any]) -> Iterator[fault.Fault]:
    models = _mapping_or_empty(content.get("models"))
    server_of_address: dict[str, str] = {}
    for name, server in _iter_declared(content, "backend_servers"):
        path = ("backend_servers", name)
        yield from _check_reference(path, server, "model", models)
        address = server.get("address")
        if isinstance(address, str):
            if address in server_of_address:
                yield fault.Fault(
                    (*path, "address"),
                    f"{address}, which {server_of_address[address]} has",
                    "an address that no other backend server has",
                )
            server_of_address.setdefault(address, name)
        yield from _check_kind_keys(path, server)


def _check_kind_keys(
    path: tuple[str, ...], server: dict[Any, Any]
) -> Iterator[fault.Fault]:
    kind = server.get("kind")
    if kind not in ("engine", "service"):
        return
    required = "model" if kind == "engine" else "service"
    forbidden = (
        ("service",) if kind == "engine" else ("model", "checks_fencing")
    )
    if required not in server:
        yield fault.Fault(
            (*path, required), "no such key", f"this key, as kind is {kind}"
        )
    for key in forbidden:
        if key in server:
            yield fault.Fault(
                (*path, key),
                checks.short_repr(server[key]),
                f"no such key, as kind is {kind}",
            )


def _check_orders(content: dict[Any, Any]) -> Iterator[fault.Fault]:
    models = _mapping_or_empty(content.get("models"))
    servers = _mapping_or_empty(content.get("backend_servers"))
    engines = [
        name
        for name in servers
        if _mapping_or_empty(servers[name]).get("kind") == "engine"
    ]
    for engine, order in _iter_declared(content, "orders"):
        path = ("orders", engine)
        if engine not in engines:
            yield _undeclared_fault(path, engine, engines)
        yield from _check_reference(path, order, "model", models)


def _check_reference(
    path: tuple[str, ...],
    declared: dict[Any, Any],
    key: str,
    known: dict[Any, Any],
) -> Iterator[fault.Fault]:
    value = declared.get(key)
    if isinstance(value, str) and value not in known:
        yield _undeclared_fault((*path, key), value, known)


def _undeclared_fault(
    path: tuple[str | int, ...], value: str, known: Any
) -> fault.Fault:
    names = ", ".join(sorted(str(name) for name in known)[:8])
    return fault.Fault(
        path,
        checks.short_repr(value),
        f"one that is declared ({names or 'none is declared'})",
    )


def _iter_declared(
    content: dict[Any, Any], key: str
) -> Iterator[tuple[str, dict[Any, Any]]]:
    """Yield the name and declaration of each well-formed entry."""
    for name, declared in _mapping_or_empty(content.get(key)).items():
        if isinstance(name, str) and isinstance(declared, dict):
            yield name, declared


def _mapping_or_empty(value: Any) -> dict[Any, Any]:
    return value if isinstance(value, dict) else {}


def _list_or_empty(value: Any) -> list[Any]:
    return value if isinstance(value, list) else []
