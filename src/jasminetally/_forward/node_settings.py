"""Settings of a router that forwards requests."""

from __future__ import annotations

from typing import NamedTuple


class NodeSettings(NamedTuple):
    """Settings of a router that forwards requests.

    Attributes:
        node: Name of the instance.
        data_centre: Where it stands.
        capacity: Processor time of the instance, in cores.
        caller_address: ``ip:port`` for callers.
        readiness_address: ``ip:port`` that is asked whether it is ready.
        directory_address: ``ip:port`` that callers ask for addresses.
        peer_address: ``ip:port`` for other routers.
        seed_addresses: Some routers' ``ip:port`` for other routers; they may
            be out of date.
        metrics_address: ``ip:port`` of the metrics.
        platform_address: ``ip:port`` of the platform's store.
        grace_s: Seconds between the signal to stop and the forced end.
        address_ttl_s: Longest time that callers keep an address list.
        retry_share: Share of a service's requests that may be repeats.
        extra_retries: Repeats that all routers together may send beyond it.
        retry_window_s: Seconds over which repeats are counted.
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
