"""Option ``--platform``, shared by the commands that use the platform."""

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

# Makes a platform client from an address, ``ip:port``.
ClientFactory = Callable[[str], "port.PlatformPort"]


def make_option() -> cleo.io.inputs.option.Option:
    """Return the option ``--platform``."""
    return cleo.helpers.option(
        "platform",
        None,
        f"IP address and port of the platform's object API; default: the "
        f"environment variable {ENVIRONMENT_VARIABLE}",
        flag=False,
    )


def make_platform_client(
    address_option: str | None,
    make_client: ClientFactory = http_client.HttpPlatform,
) -> port.PlatformPort:
    """Return a client for the platform at the given address.

    Args:
        address_option: Value of the option; None if it was not given, in
            which case the environment variable has the address.
        make_client: Makes the client from the address.

    Raises:
        SettingsError: No address is given, or it is invalid.
    """
    address = address_option or os.environ.get(ENVIRONMENT_VARIABLE)
    try:
        return make_client(checks.address(address))
    except vol.Invalid as exc:
        raise _errors.SettingsError(
            f"--platform: found {address or 'nothing'}; accepted: {exc.msg}, "
            f"in --platform or in {ENVIRONMENT_VARIABLE}"
        ) from exc
