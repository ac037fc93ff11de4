"""Configuration of the fleet as operators declare it."""

from __future__ import annotations

from typing import NamedTuple

from jasminetally._config import backend_server
from jasminetally._config import client_account
from jasminetally._config import event
from jasminetally._config import model
from jasminetally._config import order
from jasminetally._config import tier


class Manifest(NamedTuple):
    """Configuration of the fleet; each mapping is keyed by name.

    Attributes:
        revision: Number of this configuration, higher than ``based_on``.
        based_on: Revision that this manifest replaces; 0 for the first one.
        models: Models that callers may request.
        tiers: Service tiers.
        events: Live events.
        client_accounts: Client accounts with their budgets.
        backend_servers: Model engines and plain services.
        orders: Desired state of each engine, by the engine's name.
    """

    revision: int
    based_on: int
    models: dict[str, model.Model]
    tiers: dict[str, tier.Tier]
    events: dict[str, event.Event]
    client_accounts: dict[str, client_account.ClientAccount]
    backend_servers: dict[str, backend_server.BackendServer]
    orders: dict[str, order.Order]
