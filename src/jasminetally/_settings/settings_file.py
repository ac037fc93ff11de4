"""Loading of the settings files of routers and stand-ins."""

from __future__ import annotations

from typing import Any

import msgspec

from jasminetally._settings import checks
from jasminetally._settings import fault_injection_settings
from jasminetally._settings import router_limits
from jasminetally._settings import router_settings
from jasminetally._settings import settings_schema
from jasminetally._settings import standin_settings
from jasminetally._settings import yaml_file


def load_router_settings(path: str) -> router_settings.RouterSettings:
    """Load the settings of a router from a YAML file.

    Args:
        path: Path of the file.

    Raises:
        SettingsError: The file is invalid; the message lists every fault.
    """
    content = _load_checked_mapping(path, settings_schema.router_schema())
    limits = router_limits.RouterLimits(**content.pop("limits", {}))
    return msgspec.convert(
        router_settings.RouterSettings(**content, limits=limits),
        router_settings.RouterSettings,
    )


def load_standin_settings(path: str) -> standin_settings.StandinSettings:
    """Load the settings of a stand-in from a YAML file.

    Args:
        path: Path of the file.

    Raises:
        SettingsError: The file is invalid; the message lists every fault.
    """
    content = _load_checked_mapping(path, settings_schema.standin_schema())
    faults = fault_injection_settings.FaultInjectionSettings(
        **content.pop("faults", {})
    )
    return msgspec.convert(
        standin_settings.StandinSettings(**content, faults=faults),
        standin_settings.StandinSettings,
    )


def _load_checked_mapping(path: str, check: checks.Check) -> dict[str, Any]:
    content, faults = checks.validate_content(
        check, yaml_file.read_mapping(path)
    )
    checks.raise_for_faults(path, faults)
    return dict(content)
