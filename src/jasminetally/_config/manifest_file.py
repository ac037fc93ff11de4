"""Loads a manifest file and reports all of its faults."""

from __future__ import annotations

from typing import Any

import msgspec

from jasminetally._config import backend_server
from jasminetally._config import budget
from jasminetally._config import client_account
from jasminetally._config import event
from jasminetally._config import manifest
from jasminetally._config import manifest_schema
from jasminetally._config import model
from jasminetally._config import order
from jasminetally._config import references
from jasminetally._config import tier
from jasminetally._config import top_up
from jasminetally._settings import checks
from jasminetally._settings import yaml_file


def load_manifest(path: str) -> manifest.Manifest:
    """Return the manifest in a YAML file.

    Args:
        path: Path of the file.

    Raises:
        SettingsError: The file is invalid. The message has one line for each
            fault: file, key path, what was found and what is accepted.
    """
    return convert_manifest(yaml_file.read_mapping(path), path)


def convert_manifest(content: dict[Any, Any], path: str) -> manifest.Manifest:
    """Return the manifest in the parsed content of a YAML file.

    Args:
        content: Mapping at the top level of the file.
        path: Path of the file, for messages.

    Raises:
        SettingsError: The content is invalid, as for ``load_manifest``.
    """
    checked, faults = checks.validate_content(
        manifest_schema.manifest_schema(), content
    )
    checks.raise_for_faults(
        path, [*faults, *references.check_references(content)]
    )
    return msgspec.convert(_build_manifest(checked), manifest.Manifest)


def _build_manifest(checked: dict[str, Any]) -> manifest.Manifest:
    return manifest.Manifest(
        revision=checked["revision"],
        based_on=checked["based_on"],
        models=_build_named(model.Model, checked["models"]),
        tiers=_build_named(tier.Tier, checked["tiers"]),
        events={
            name: _build_event(name, **declared)
            for name, declared in checked["events"].items()
        },
        client_accounts={
            name: _build_client_account(name, **declared)
            for name, declared in checked["client_accounts"].items()
        },
        backend_servers=_build_named(
            backend_server.BackendServer, checked["backend_servers"]
        ),
        orders={
            engine: order.Order(engine, **declared)
            for engine, declared in checked["orders"].items()
        },
    )


def _build_named(
    record_type: Any, declared: dict[str, dict[str, Any]]
) -> dict[str, Any]:
    return {name: record_type(name=name, **declared[name]) for name in declared}


def _build_event(name: str, *, start: float, **declared: str) -> event.Event:
    return event.Event(name=name, start_s=start, **declared)


def _build_client_account(
    name: str,
    *,
    key_hashes: list[str],
    budgets: dict[str, dict[str, Any]],
    **declared: Any,
) -> client_account.ClientAccount:
    return client_account.ClientAccount(
        name=name,
        key_hashes=tuple(key_hashes),
        budgets={key: _build_budget(key, **budgets[key]) for key in budgets},
        **declared,
    )


def _build_budget(name: str, *, top_ups: list[dict[str, Any]]) -> budget.Budget:
    return budget.Budget(
        name, tuple(top_up.TopUp(**declared) for declared in top_ups)
    )
