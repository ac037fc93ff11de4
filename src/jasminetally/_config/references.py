"""Checks between the parts of a manifest.

They run on the content as read, also when the schema found faults, so that
one run reports everything. Parts of the wrong type are skipped here; the
schema has reported them.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

from jasminetally._settings import checks
from jasminetally._settings import fault


def check_references(content: dict[Any, Any]) -> list[fault.Fault]:
    """Return the faults between the parts of a manifest."""
    return [
        *_revision(content),
        *_client_accounts(content),
        *_events(content),
        *_backend_servers(content),
        *_orders(content),
    ]


def _revision(content: dict[Any, Any]) -> Iterator[fault.Fault]:
    revision, based_on = content.get("revision"), content.get("based_on")
    if type(revision) is not int or type(based_on) is not int:
        return
    if revision <= based_on:
        yield fault.Fault(
            ("revision",),
            str(revision),
            f"a number above based_on, which is {based_on}",
        )


def _client_accounts(content: dict[Any, Any]) -> Iterator[fault.Fault]:
    owners: dict[str, str] = {}
    for account, declared in _items(content, "client_accounts"):
        path = ("client_accounts", account)
        budgets = _mapping(declared.get("budgets"))
        default = declared.get("default_budget")
        if isinstance(default, str) and default not in budgets:
            yield _unknown((*path, "default_budget"), default, budgets)
        for index, digest in enumerate(_list(declared.get("key_hashes"))):
            if not isinstance(digest, str):
                continue
            if digest in owners:
                yield fault.Fault(
                    (*path, "key_hashes", index),
                    f"a key hash that {owners[digest]} has",
                    "a key hash that no client account has",
                )
            owners.setdefault(digest, account)
        for budget, terms in _items(declared, "budgets"):
            yield from _top_ups((*path, "budgets", budget, "top_ups"), terms)


def _top_ups(
    path: tuple[str | int, ...], terms: dict[Any, Any]
) -> Iterator[fault.Fault]:
    seen = set()
    for index, payment in enumerate(_list(terms.get("top_ups"))):
        payment_id = _mapping(payment).get("id")
        if not isinstance(payment_id, str):
            continue
        if payment_id in seen:
            yield fault.Fault(
                (*path, index, "id"),
                checks.shorten(payment_id),
                "an id that no other top-up of this budget has",
            )
        seen.add(payment_id)


def _events(content: dict[Any, Any]) -> Iterator[fault.Fault]:
    accounts = _mapping(content.get("client_accounts"))
    tiers = _mapping(content.get("tiers"))
    for name, event in _items(content, "events"):
        path = ("events", name)
        yield from _reference(path, event, "default_tier", tiers)
        account = event.get("client_account")
        yield from _reference(path, event, "client_account", accounts)
        if isinstance(account, str) and account in accounts:
            budgets = _mapping(_mapping(accounts[account]).get("budgets"))
            yield from _reference(path, event, "budget", budgets)


def _backend_servers(content: dict[Any, Any]) -> Iterator[fault.Fault]:
    models = _mapping(content.get("models"))
    owners: dict[str, str] = {}
    for name, server in _items(content, "backend_servers"):
        path = ("backend_servers", name)
        yield from _reference(path, server, "model", models)
        address = server.get("address")
        if isinstance(address, str):
            if address in owners:
                yield fault.Fault(
                    (*path, "address"),
                    f"{address}, which {owners[address]} has",
                    "an address that no other backend server has",
                )
            owners.setdefault(address, name)
        yield from _kind_keys(path, server)


def _kind_keys(
    path: tuple[str, ...], server: dict[Any, Any]
) -> Iterator[fault.Fault]:
    kind = server.get("kind")
    if kind not in ("engine", "service"):
        return
    needed = "model" if kind == "engine" else "service"
    barred = ("service",) if kind == "engine" else ("model", "checks_fencing")
    if needed not in server:
        yield fault.Fault(
            (*path, needed), "no such key", f"this key, as kind is {kind}"
        )
    for key in barred:
        if key in server:
            yield fault.Fault(
                (*path, key),
                checks.shorten(server[key]),
                f"no such key, as kind is {kind}",
            )


def _orders(content: dict[Any, Any]) -> Iterator[fault.Fault]:
    models = _mapping(content.get("models"))
    servers = _mapping(content.get("backend_servers"))
    engines = [
        name
        for name in servers
        if _mapping(servers[name]).get("kind") == "engine"
    ]
    for engine, order in _items(content, "orders"):
        path = ("orders", engine)
        if engine not in engines:
            yield _unknown(path, engine, engines)
        yield from _reference(path, order, "model", models)


def _reference(
    path: tuple[str, ...],
    declared: dict[Any, Any],
    key: str,
    known: dict[Any, Any],
) -> Iterator[fault.Fault]:
    value = declared.get(key)
    if isinstance(value, str) and value not in known:
        yield _unknown((*path, key), value, known)


def _unknown(
    path: tuple[str | int, ...], value: str, known: Any
) -> fault.Fault:
    names = ", ".join(sorted(str(name) for name in known)[:8])
    return fault.Fault(
        path,
        checks.shorten(value),
        f"one that is declared ({names or 'none is declared'})",
    )


def _items(
    content: dict[Any, Any], key: str
) -> Iterator[tuple[str, dict[Any, Any]]]:
    for name, declared in _mapping(content.get(key)).items():
        if isinstance(name, str) and isinstance(declared, dict):
            yield name, declared


def _mapping(value: Any) -> dict[Any, Any]:
    return value if isinstance(value, dict) else {}


def _list(value: Any) -> list[Any]:
    return value if isinstance(value, list) else []
