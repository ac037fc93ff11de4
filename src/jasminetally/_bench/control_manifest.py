"""Configurations of the control bench."""

from __future__ import annotations

from jasminetally._bench import control_size
from jasminetally._config import backend_server
from jasminetally._config import budget
from jasminetally._config import client_account
from jasminetally._config import manifest
from jasminetally._config import order
from jasminetally._config import stored_config
from jasminetally._config import tier
from jasminetally._config import top_up

BUDGETS_PER_ACCOUNT = 20


def build_config(
    size: control_size.ControlSize, revision: int
) -> stored_config.StoredConfig:
    """Return the stored configuration of a deployment.

    Args:
        size: Size of the deployment.
        revision: Revision of the configuration.
    """
    accounts = {}
    for first in range(0, size.budgets, BUDGETS_PER_ACCOUNT):
        last = min(first + BUDGETS_PER_ACCOUNT, size.budgets)
        budgets = {
            f"b{number}": budget.Budget(
                f"b{number}", (top_up.TopUp(f"t{number}", 1_000_000),)
            )
            for number in range(first, last)
        }
        name = f"account-{first}"
        accounts[name] = client_account.ClientAccount(
            name, (f"{first:064x}",), f"b{first}", budgets
        )
    servers = {
        f"engine-{number}": backend_server.BackendServer(
            name=f"engine-{number}",
            kind="engine",
            address=f"127.0.0.1:{10000 + number}",
            data_centre=f"dc-{number % 23}",
            model="model",
        )
        for number in range(size.engines)
    }
    declared = manifest.Manifest(
        revision=revision,
        based_on=revision - 1,
        models={},
        tiers={"live": tier.Tier("live", 1, 2.0, 256, "live")},
        events={},
        client_accounts=accounts,
        backend_servers=servers,
        orders={
            name: order.Order(
                engine=name,
                model="model",
                version="1",
                # Each revision changes the adapter version of one engine.
                adapters={"adapter": str((revision + number) // size.engines)},
            )
            for number, name in enumerate(servers)
        },
    )
    return stored_config.StoredConfig(
        1, revision, "operation", "bench", 0.0, declared
    )
