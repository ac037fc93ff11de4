"""Settings of a router process."""

from __future__ import annotations

from typing import NamedTuple

from jasminetally._placing import cold_allowance as cold_allowance_lib

# Limits of an instance whose settings name none.
DEFAULT_MEMORY_BYTES = 268_435_456
DEFAULT_MAX_DESCRIPTORS = 4_096


class NodeSettings(NamedTuple):
    """Settings of a router process.

    Attributes:
        node: Name of the instance.
        data_centre: Data centre of the instance.
        capacity: Processor time of the instance, in cores.
        caller_address: ``ip:port`` that listens for callers' requests.
        readiness_address: ``ip:port`` that listens for readiness checks.
        directory_address: ``ip:port`` that listens for callers' requests for
            the addresses of routers.
        peer_address: ``ip:port`` that listens for messages of other routers.
        seed_addresses: Peer addresses of some other routers; they may be out
            of date.
        metrics_address: ``ip:port`` that serves the metrics.
        platform_address: ``ip:port`` of the platform's store.
        grace_s: Seconds from SIGTERM until the platform kills the process.
        address_ttl_s: Longest time in seconds for which callers keep a list of
            addresses.
        retry_ratio: Retries that all routers together may send per request of
            a service.
        min_retries: Retries of a service that all routers together may send
            in a window even with few requests.
        retry_window_s: Length in seconds of the sliding window in which
            retries are counted.
        cold_allowance: What the users tolerate beyond the rate of a cold
            server; None if cold servers are not to be paced.
        link_mbps: Rate of the instance's network link in megabits a second;
            None if not known.
        leaving_price_s: What the operator adds to the delay of a request that
            leaves its data centre, in seconds, for the price of its bytes.
        obeys_evacuations: Whether operators may ask that the servers of a data
            centre get no requests.
        first_start: Whether the whole system starts for the first time.
        memory_bytes: Memory of the instance.
        max_descriptors: Descriptors that the process may have open.
    """

    node: str
    data_centre: str
    capacity: float
    caller_address: str
    readiness_address: str
    directory_address: str
    peer_address: str
    seed_addresses: tuple[str, ...]
    metrics_address: str
    platform_address: str
    grace_s: float
    address_ttl_s: float
    retry_ratio: float
    min_retries: int
    retry_window_s: float
    cold_allowance: cold_allowance_lib.ColdAllowance | None = None
    link_mbps: float | None = None
    leaving_price_s: float = 0.0
    obeys_evacuations: bool = False
    first_start: bool = False
    memory_bytes: int = DEFAULT_MEMORY_BYTES
    max_descriptors: int = DEFAULT_MAX_DESCRIPTORS
