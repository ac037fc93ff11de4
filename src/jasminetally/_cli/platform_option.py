"""Option that names the platform, shared by commands."""

from __future__ import annotations

from collections.abc import Callable
import os
from typing import TYPE_CHECKING

import cleo.helpers
import voluptuous as vol

from jasminetally import _errors
from jasminetally._platform import http_client
from jasminetally._settings import checks

if TYPE_CHECKING:
    import cleo.io.inputs.option

    from jasminetally._platform import port

ENVIRONMENT_VARIABLE = "JASMINETALLY_PLATFORM"

ClientFactory = Callable[[str], "port.PlatformPort"]


def make_option() -> cleo.io.inputs.option.Option:
    """Return the option ``--platform``."""
    return cleo.helpers.option(
        "platform",
        None,
        f"IP number and port of the platform's object API; default: the "
        f"environment variable {ENVIRONMENT_VARIABLE}",
        flag=False,
    )


def make_platform_client(
    value: str | None,
    make_client: ClientFactory = http_client.HttpPlatform,
) -> port.PlatformPort:
    """Return a client of the platform.

    Args:
        value: Value of the option; None for the environment variable.
        make_client: Makes a client from an address.

    Raises:
        SettingsError: There is no address, or it is invalid.
    """
    address = value or os.environ.get(ENVIRONMENT_VARIABLE)
    try:
        return make_client(checks.address(address))
    except vol.Invalid as exc:
        raise _errors.SettingsError(
            f"--platform: found {address or 'nothing'}; accepted: {exc.msg}"
        ) from exc
