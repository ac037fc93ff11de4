"""Times and rates of orders to engines."""

from __future__ import annotations

from typing import NamedTuple


class OrderPolicy(NamedTuple):
    """Times and rates of orders to engines.

    Attributes:
        lease_s: Seconds that a lease is valid after the start of the write
            that took or renewed it.
        renew_s: Seconds between renewals.
        send_margin_s: Seconds before the end of the lease from which no order
            is sent any more.
        max_in_flight_s: Longest time between the send of an order and its
            effect; also the timeout of the call.
        retry_s: Seconds between attempts and between reads of a state.
        report_period_s: Seconds between reads of the state of an engine that
            has nothing to do.
        loads_per_s: Loads from the weight store per second by this router.
        loads_burst: Loads that may start at once.
    """

    lease_duration_s: float = 10.0
    renew_interval_s: float = 3.0
    send_margin_s: float = 1.0
    max_in_flight_s: float = 30.0
    retry_interval_s: float = 1.0
    report_interval_s: float = 5.0
    loads_per_s: float = 0.2
    load_burst: float = 2.0
