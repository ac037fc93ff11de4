"""Configuration of the embedded deployment."""

from __future__ import annotations

import hashlib
import time
from typing import TYPE_CHECKING

import msgspec

from jasminetally._config import backend_server
from jasminetally._config import budget
from jasminetally._config import client_account
from jasminetally._config import config_codec
from jasminetally._config import event
from jasminetally._config import manifest
from jasminetally._config import model
from jasminetally._config import order
from jasminetally._config import stored_config
from jasminetally._config import tier
from jasminetally._config import top_up

if TYPE_CHECKING:
    from collections.abc import Mapping

MODEL = "board-small"
SERVICE = "board"
API_KEY = "demo-key"
CLIENT_ACCOUNT = "hotel-demo"
EVENT = "shift-change"
OTHER_ACCOUNT = "studio-demo"
OTHER_EVENT = "print-slot"
DATA_CENTRE = "local"


def build_manifest(
    *,
    engines: Mapping[str, str],
    services: Mapping[str, str],
    tokens: int,
    revision: int = 1,
    orders: Mapping[str, order.Order] | None = None,
) -> manifest.Manifest:
    """Return a manifest for backend servers on loopback addresses.

    Args:
        engines: Addresses by engine.
        services: Addresses by plain service.
        tokens: Tokens paid into the budget of each client account.
        revision: Revision of the manifest.
        orders: Orders by engine, with the desired state of each.
    """
    servers = {
        name: _make_backend_server(name, "engine", address, model=MODEL)
        for name, address in engines.items()
    }
    for name, address in services.items():
        servers[name] = _make_backend_server(
            name, "service", address, service=SERVICE
        )
    return manifest.Manifest(
        revision=revision,
        based_on=revision - 1,
        models={MODEL: model.Model(MODEL, 8192)},
        tiers={
            "desk": tier.Tier("desk", 100, 30.0, 64, "live"),
            "night": tier.Tier("night", 10, 600.0, 64, "overnight"),
        },
        events={
            EVENT: _make_event(EVENT, CLIENT_ACCOUNT),
            OTHER_EVENT: _make_event(OTHER_EVENT, OTHER_ACCOUNT),
        },
        client_accounts={
            CLIENT_ACCOUNT: _make_client_account(
                CLIENT_ACCOUNT, API_KEY, tokens
            ),
            OTHER_ACCOUNT: _make_client_account(
                OTHER_ACCOUNT, f"other-{API_KEY}", tokens
            ),
        },
        backend_servers=servers,
        orders=dict(orders or {}),
    )


def encode_config(declared: manifest.Manifest) -> bytes:
    """Return the value of ``config/current`` for a manifest."""
    return config_codec.encode(
        stored_config.StoredConfig(
            schema=config_codec.SCHEMA,
            revision=declared.revision,
            operation=f"embedded-{declared.revision}",
            applied_by="embedded",
            applied_at_s=time.time(),
            manifest=declared,
        )
    )


def encode_listed_instance(instance: str) -> bytes:
    """Return the value of an instance's entry in the instance list."""
    return msgspec.json.encode(
        {"instance": instance, "data_centre": DATA_CENTRE, "state": "live"}
    )


def _make_backend_server(
    name: str,
    kind: str,
    address: str,
    *,
    model: str | None = None,
    service: str | None = None,
) -> backend_server.BackendServer:
    return backend_server.BackendServer(
        name=name,
        kind=kind,
        address=address,
        data_centre=DATA_CENTRE,
        model=model,
        service=service,
        checks_fencing=True,
    )


def _make_event(name: str, account: str) -> event.Event:
    start_s = time.time() + 3600.0
    return event.Event(name, account, "general", start_s, "desk")


def _make_client_account(
    name: str, key: str, tokens: int
) -> client_account.ClientAccount:
    paid_budget = budget.Budget("general", (top_up.TopUp("first", tokens),))
    return client_account.ClientAccount(
        name=name,
        key_hashes=(hashlib.sha256(key.encode()).hexdigest(),),
        default_budget="general",
        budgets={"general": paid_budget},
    )
