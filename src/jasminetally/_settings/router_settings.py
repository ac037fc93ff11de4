"""Settings of a router process."""

from __future__ import annotations

from typing import NamedTuple

from jasminetally._settings import router_limits


class RouterSettings(NamedTuple):
    """Settings of a router process.

    Attributes:
        instance: Name of the instance, unique in the fleet.
        data_centre: Data centre in which the instance runs.
        http_address: IP address and port on which it listens for callers.
        peer_address: IP address and port on which it listens for other
            routers.
        platform_address: IP address and port of the platform's object API.
        statsd_address: IP address and port of the StatsD server that receives
            the metrics; None if there is none.
        log_format: ``readable`` or ``json``.
        limits: Resource limits of the process.
    """

    instance: str
    data_centre: str
    http_address: str
    peer_address: str
    platform_address: str
    statsd_address: str | None = None
    log_format: str = "readable"
    limits: router_limits.RouterLimits = router_limits.RouterLimits()
