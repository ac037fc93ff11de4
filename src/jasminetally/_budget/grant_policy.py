"""Settings of the budget decisions of a router."""

from __future__ import annotations

from typing import NamedTuple


class GrantPolicy(NamedTuple):
    """Sizes and times of grants; times in seconds, counts in tokens.

    Attributes:
        horizon_s: A grant covers the forecast demand of this time.
        refill_fraction: A grant below this fraction of its target is refilled.
        minimum_bounds: A grant is at least this many of the largest recent
            upper bounds, so that the first requests of an event don't each
            need a write.
        free_divisor: A router's target is at most the free tokens divided by
            this number for each router.
        scarce_bounds: A budget with less than this many of the largest recent
            upper bounds left for each router is scarce: routers then take only
            what waiting requests need and return what they do not use, so that
            the last tokens are not spread over routers that can't use them.
        max_wait_s: Longest wait of a request that does not fit.
        idle_s: A grant without demand for this time is returned.
        flush_s: Settlements are written after at most this time.
        claim_window_s: Claims of this time share one write.
        refill_interval_s: Shortest time between refills that no request
            waits for.
        ask_interval_s: Time between rounds of asking peers for tokens.
        ask_retry_s: Time after which an unanswered question is repeated.
        reread_s: Time after which a waiting request reads the record again.
        io_timeout_s: A read without a result for this time is repeated.
        backoff_s: First delay after a failed or conflicting write.
        max_backoff_s: Longest such delay.
        fleet_writes_per_s: Platform writes for all routers together.
        isolated_percent: Share of a grant for times without any peer.
        isolated_horizon_s: A router without any peer that reaches the
            platform raises its isolated share to the demand of this time.
        retention_s: Completed requests are kept this long.
        prune_interval_s: Time between prunings by one router.
    """

    forecast_horizon_s: float = 30.0
    refill_fraction: float = 0.4
    min_target_bounds: int = 8
    free_divisor: float = 2.0
    scarce_bounds: float = 1.0
    max_wait_s: float = 2.0
    idle_return_s: float = 30.0
    flush_interval_s: float = 1.0
    claim_window_s: float = 0.02
    refill_interval_s: float = 0.1
    transfer_interval_s: float = 0.2
    transfer_retry_s: float = 0.5
    reread_interval_s: float = 0.1
    io_timeout_s: float = 5.0
    initial_backoff_s: float = 0.005
    max_backoff_s: float = 1.0
    fleet_writes_per_s: float = 200.0
    isolated_percent: int = 2
    isolated_horizon_s: float = 10.0
    retention_s: float = 900.0
    prune_interval_s: float = 30.0
