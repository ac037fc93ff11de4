"""Lookups in one version of the configuration."""

from __future__ import annotations

from jasminetally._deployment import client_account
from jasminetally._deployment import deployment as deployment_lib
from jasminetally._deployment import route


class DeploymentIndex:
    """Find routes and client accounts of one deployment version.

    The cost of a lookup depends on the depth of the path, not on the number
    of routes, since an operator may add hundreds of routes at once.

    Attributes:
        deployment: The indexed version.
    """

    def __init__(self, deployment: deployment_lib.Deployment) -> None:
        self.deployment = deployment
        self._routes = {
            (found.host, found.path_prefix): found
            for found in deployment.routes
        }
        self._accounts_by_key = {
            key: account
            for account in deployment.accounts.values()
            for key in account.api_keys
        }

    def find_route(self, host: str, path: str) -> route.Route | None:
        """Return the route with the longest prefix of the path, if any."""
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            found = self._routes.get((host, path[: end + 1]))
            if found is not None:
                return found
        return None

    def find_account(self, key: str) -> client_account.ClientAccount | None:
        """Return the client account that holds a key, if any."""
        return self._accounts_by_key.get(key)
