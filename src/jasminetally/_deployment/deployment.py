"""Accepted configuration of a deployment."""

from __future__ import annotations

from typing import NamedTuple

from jasminetally._deployment import caller_limits
from jasminetally._deployment import client_account
from jasminetally._deployment import route
from jasminetally._deployment import service


class Deployment(NamedTuple):
    """One version of what the operator declares.

    Attributes:
        version: Number that grows with each accepted version.
        routes: All routes.
        services: Services by name.
        accounts: Client accounts by name; empty if keys are not used.
        limits: Limits on what callers may send.
    """

    version: int
    routes: tuple[route.Route, ...]
    services: dict[str, service.Service]
    accounts: dict[str, client_account.ClientAccount]
    limits: caller_limits.CallerLimits
