"""Index of the routes and client accounts in one configuration version."""

from __future__ import annotations

from jasminetally._deployment import client_account
from jasminetally._deployment import deployment as deployment_lib
from jasminetally._deployment import route


class DeploymentIndex:
    """Find routes by host and path, and client accounts by API key.

    The cost of finding a route grows with the depth of the path and not with
    the number of routes, since an operator may add hundreds of routes at once.

    Attributes:
        deployment: The indexed configuration.
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
        """Return the host's route with the longest matching path prefix.

        Args:
            host: Value of the request's Host header; must match exactly.
            path: Path of the request, without the query.

        Returns:
            The route, or None if no route matches.
        """
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            found = self._routes.get((host, path[: end + 1]))
            if found is not None:
                return found
        return None

    def find_account(self, key: str) -> client_account.ClientAccount | None:
        """Return the client account that holds an API key, if any."""
        return self._accounts_by_key.get(key)

    def tokens_per_event(self, service: str) -> int:
        """Return the largest number of output tokens in an event of a service.

        Args:
            service: Name of the service.
        """
        declared = self.deployment.services.get(service)
        if declared is None or declared.engine is None:
            return 1
        return declared.engine.max_tokens_per_event
