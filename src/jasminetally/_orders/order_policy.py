"""Time limits, intervals and rate limits of orders to engines."""

from __future__ import annotations

from typing import NamedTuple


class OrderPolicy(NamedTuple):
    """Time limits, intervals and rate limits of orders to engines.

    Attributes:
        lease_duration_s: Seconds for which a lease is valid after the start of
            the write that acquired or renewed it.
        renew_interval_s: Seconds between renewals of a lease.
        send_margin_s: Seconds before the end of a lease during which no order
            is sent.
        max_in_flight_s: Maximum seconds between sending an order and its
            effect; also the timeout of the call.
        retry_interval_s: Seconds before a failed call is repeated and between
            reads of an engine's state.
        report_interval_s: Seconds between periodic reads of the state of each
            engine that is assigned to this router.
        loads_per_s: Limit of this router for loads from the weight store, in
            loads per second.
        load_burst: Number of loads that may start at once.
    """

    lease_duration_s: float = 10.0
    renew_interval_s: float = 3.0
    send_margin_s: float = 1.0
    max_in_flight_s: float = 30.0
    retry_interval_s: float = 1.0
    report_interval_s: float = 5.0
    loads_per_s: float = 0.2
    load_burst: float = 2.0
