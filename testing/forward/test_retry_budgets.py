"""Tests of this router's shares of the fleet's retry budgets."""

from __future__ import annotations

import pytest

from jasminetally._forward import node_settings
from jasminetally._forward import retry_budgets

MIN_RETRIES = 50


@pytest.fixture
def settings():
    return node_settings.NodeSettings(
        node="a",
        data_centre="hall",
        capacity=1.0,
        caller_address="",
        readiness_address="",
        directory_address="",
        peer_address="",
        seed_addresses=(),
        metrics_address="",
        platform_address="",
        grace_s=8.0,
        address_ttl_s=5.0,
        retry_ratio=0.2,
        min_retries=MIN_RETRIES,
        retry_window_s=10.0,
    )


def count_retries(budgets) -> int:
    """Return how many retries of the service are allowed now."""
    return sum(budgets.get("app").try_retry(1.0) for _ in range(MIN_RETRIES))


@pytest.mark.parametrize("known_at_first", [1, 5, 10])
def test_routers_together_keep_the_budget_when_their_number_changes(
    settings, known_at_first
):
    """Guards against a share that stays that of a router that started alone."""
    routers = known_at_first
    fleet = [
        retry_budgets.RetryBudgets(settings, lambda: routers) for _ in range(10)
    ]
    for budgets in fleet:
        budgets.get("app")
    routers = len(fleet)
    assert sum(count_retries(budgets) for budgets in fleet) <= MIN_RETRIES
