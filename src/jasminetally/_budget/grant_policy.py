"""Settings of a router's budget decisions."""

from __future__ import annotations

from typing import NamedTuple


class GrantPolicy(NamedTuple):
    """Sizes and times of grants, writes and transfers.

    Times are in seconds, counts in tokens unless stated otherwise. A *bound* is
    the upper bound of a request's usage.

    Attributes:
        forecast_horizon_s: A grant covers the forecast demand of this time.
        refill_fraction: A grant is refilled when its usable tokens fall below
            this fraction of the target.
        min_target_bounds: The target is computed from a demand of at least
            this many of the largest recent bounds, so that the first requests
            of an event don't each need a write.
        free_divisor: A router's target is at most the free tokens divided by
            this number times the number of routers.
        scarce_bounds: A budget is scarce if the fleet has less than this many
            of the largest recent bounds left for each router. Routers then
            take only what waiting requests need and return what they do not
            use, so that the last tokens are not spread over routers that can't
            use them.
        max_wait_s: Longest time that a request waits for tokens.
        idle_return_s: A grant without demand for this time is returned.
        flush_interval_s: Longest time before a settlement is written.
        claim_window_s: Claims made within this time share one write.
        refill_interval_s: Shortest time between refills that no request
            waits for.
        transfer_interval_s: Shortest time between two rounds in which the
            peers are asked for tokens.
        transfer_retry_s: Time after which an unanswered transfer request is
            repeated; doubles with each repetition.
        reread_interval_s: The record is read again at this interval while a
            request waits.
        io_timeout_s: A read without a result after this time is repeated.
        initial_backoff_s: Longest random delay after the first failed or
            conflicting call to the platform; doubles with each further one.
        max_backoff_s: Upper limit of that delay.
        fleet_writes_per_s: Platform writes per second of all routers together.
        isolated_percent: Isolated share of a grant, in percent.
        isolated_horizon_s: A router that reaches the platform but no peer
            raises its isolated share to the forecast demand of this time.
        retention_s: Time for which completed requests are kept in the record.
        prune_interval_s: Shortest time between prunings by one router, unless
            the record has too many request entries.
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
