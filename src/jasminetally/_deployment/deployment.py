"""One version of the configuration of a deployment."""

from __future__ import annotations

from typing import NamedTuple

from jasminetally._deployment import caller_limits
from jasminetally._deployment import client_account
from jasminetally._deployment import route
from jasminetally._deployment import service


class Deployment(NamedTuple):
    """One version of the configuration that the operator declares.

    Attributes:
        version: Version number; increases with each accepted version.
        routes: All routes.
        services: Services by name.
        accounts: Client accounts by name; if empty, requests need no API key.
        limits: Limits on callers' connections and requests.
    """

    version: int
    routes: tuple[route.Route, ...]
    services: dict[str, service.Service]
    accounts: dict[str, client_account.ClientAccount]
    limits: caller_limits.CallerLimits
