"""This router's shares of the fleet's retry budgets."""

from __future__ import annotations

from collections.abc import Callable

from jasminetally._forward import node_settings
from jasminetally._shared import retry_budget

# Part of its share of the platform's retry budget that this router uses.
RETRY_BUDGET_FACTOR = 0.8


class RetryBudgets:
    """Holds a retry budget for each service.

    The retries that are allowed even with few requests are allowed to all
    routers together, so each gets an equal share, which follows the number of
    routers.

    Args:
        settings: Settings of the router.
        count_routers: Returns the number of routers that may send retries,
            including this one.
    """

    def __init__(
        self,
        settings: node_settings.NodeSettings,
        count_routers: Callable[[], int],
    ) -> None:
        self._settings = settings
        self._count_routers = count_routers
        self._budgets: dict[str, retry_budget.RetryBudget] = {}

    def get(self, service: str) -> retry_budget.RetryBudget:
        """Return the retry budget of a service."""
        settings = self._settings
        min_retries = int(
            settings.min_retries * RETRY_BUDGET_FACTOR / self._count_routers()
        )
        budget = self._budgets.get(service)
        if budget is None:
            budget = retry_budget.RetryBudget(
                ratio=settings.retry_ratio * RETRY_BUDGET_FACTOR,
                min_retries=min_retries,
                window_s=settings.retry_window_s,
            )
            self._budgets[service] = budget
        budget.min_retries = min_retries
        return budget
