"""Reads the status of the fleet from the objects in the platform."""

from __future__ import annotations

from typing import TYPE_CHECKING

from jasminetally import _errors
from jasminetally._cli import fleet_status
from jasminetally._config import client_account
from jasminetally._config import config_codec
from jasminetally._config import stored_config
from jasminetally._ledger import account_record
from jasminetally._ledger import budget_entry
from jasminetally._ledger import record_codec
from jasminetally._membership import status_codec

if TYPE_CHECKING:
    from jasminetally._platform import port

ACCOUNT_KEY_PREFIX = "account/"


def read_status(
    platform: port.PlatformPort, *, only_account: str | None = None
) -> fleet_status.FleetStatus:
    """Read the configuration, the routers and the budgets.

    Args:
        platform: Client of the platform.
        only_account: Client account whose budgets are read; None for all. Each
            client account takes a read of its own.

    Raises:
        PlatformError: A read failed, or an object can't be decoded.
        SettingsError: The configuration can't be decoded or does not contain
            the client account.
    """
    stored = _read_config(platform)
    accounts = stored.manifest.client_accounts if stored else {}
    if only_account is not None and only_account not in accounts:
        raise _errors.SettingsError(
            f"--account: found {only_account}; accepted: a client account of "
            f"the recorded revision {stored.revision if stored else 0}"
        )
    names = [only_account] if only_account else sorted(accounts)
    return {
        "revision": stored.revision if stored else 0,
        "applied_by": stored.applied_by if stored else "",
        "routers": _read_routers(platform),
        "budgets": [
            row
            for name in names
            for row in _read_budgets(platform, accounts[name])
        ],
    }


def _read_config(
    platform: port.PlatformPort,
) -> stored_config.StoredConfig | None:
    try:
        config_object = platform.get(config_codec.CONFIG_KEY)
    except _errors.NotFoundError:
        return None
    return config_codec.decode(config_object.value or b"")


def _read_routers(platform: port.PlatformPort) -> list[fleet_status.RouterRow]:
    listed_states = {
        listed_instance.instance: listed_instance.state
        for listed_instance in map(
            status_codec.decode_listed_instance,
            platform.list(status_codec.INSTANCE_LIST_PREFIX).entries,
        )
    }
    statuses = map(
        status_codec.decode_status,
        platform.list(status_codec.STATUS_PREFIX).entries,
    )
    return [
        {
            "instance": status.instance,
            "incarnation": status.incarnation,
            "data_centre": status.data_centre,
            "state": status.state.value,
            "listed": listed_states.get(status.instance),
            "revision": status.revision,
            "http_address": status.http_address,
        }
        for status in statuses
    ]


def _read_budgets(
    platform: port.PlatformPort, account: client_account.ClientAccount
) -> list[fleet_status.BudgetRow]:
    try:
        account_object = platform.get(ACCOUNT_KEY_PREFIX + account.name)
        record = record_codec.decode(account_object.value or b"")
    except _errors.NotFoundError:
        record = account_record.AccountRecord()
    rows: list[fleet_status.BudgetRow] = []
    for name in sorted(account.budgets.keys() | record.budgets.keys()):
        declared = account.budgets.get(name)
        entry = record.budgets.get(name, budget_entry.BudgetEntry())
        rows.append(
            {
                "client_account": account.name,
                "budget": name,
                "paid_in": declared.paid_in if declared else 0,
                "credited": sum(entry.credited.values()),
                "settled": entry.settled,
                "unbilled": entry.unbilled,
                "held": sum(grant.tokens for grant in entry.grants.values()),
                "free": entry.free,
            }
        )
    return rows
