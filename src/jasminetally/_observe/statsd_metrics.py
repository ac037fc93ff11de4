"""Counters, gauges and timings that are sent to a statsd server."""

from __future__ import annotations

import statsd

# First component of each metric's name.
METRIC_PREFIX = "jasminetally"


class StatsdMetrics:
    """Send metrics to a statsd server, or discard them without an address.

    Args:
        address: Address of the statsd server as ``ip:port``, or None.
    """

    def __init__(self, address: str | None) -> None:
        self._client: statsd.StatsClient | None = None
        if address is None:
            return
        host, port = address.rsplit(":", 1)
        self._client = statsd.StatsClient(host, int(port), prefix=METRIC_PREFIX)

    def increment_counter(self, name: str, value: int = 1) -> None:
        """Add a value to a counter."""
        if self._client is not None:
            self._client.incr(name, value)

    def set_gauge(self, name: str, value: float) -> None:
        """Set a gauge to a value."""
        if self._client is not None:
            self._client.gauge(name, value)

    def record_timing(self, name: str, value_ms: float) -> None:
        """Record a duration in milliseconds."""
        if self._client is not None:
            self._client.timing(name, value_ms)
