"""Counters and histograms of requests, in the Prometheus text format."""

from __future__ import annotations

import prometheus_client

# Latencies in seconds; objectives lie between 0.15 and 1 s.
LATENCY_BUCKETS_S = (
    0.025,
    0.05,
    0.1,
    0.2,
    0.3,
    0.4,
    0.5,
    0.8,
    1.2,
    2.0,
    4.0,
    8.0,
    16.0,
)


class RequestMetrics:
    """Count requests by client account, route and outcome.

    Series are bounded: accounts and routes come from the configuration, and
    outcomes are codes of this package.
    """

    def __init__(self) -> None:
        self.registry = prometheus_client.CollectorRegistry()
        self._requests = prometheus_client.Counter(
            "jasminetally_requests",
            "Requests by client account, service and outcome",
            ["account", "service", "outcome"],
            registry=self.registry,
        )
        self._latency = prometheus_client.Histogram(
            "jasminetally_first_answer_seconds",
            "Time to the first event, or to the whole answer without a stream",
            ["account", "service"],
            buckets=LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        self._attempts = prometheus_client.Counter(
            "jasminetally_attempts",
            "Requests sent to backend servers by service and result",
            ["service", "result"],
            registry=self.registry,
        )
        self._gauges: dict[str, prometheus_client.Gauge] = {}

    def count_request(self, account: str, service: str, outcome: str) -> None:
        """Count the end of a request."""
        self._requests.labels(account, service, outcome).inc()

    def record_first_answer(
        self, account: str, service: str, seconds: float
    ) -> None:
        """Record the time to the first part of an answer."""
        self._latency.labels(account, service).observe(seconds)

    def count_attempt(self, service: str, result: str) -> None:
        """Count an attempt at a backend server."""
        self._attempts.labels(service, result).inc()

    def set_gauge(self, name: str, text: str, value: float) -> None:
        """Set a gauge."""
        found = self._gauges.get(name)
        if found is None:
            found = prometheus_client.Gauge(
                f"jasminetally_{name}", text, registry=self.registry
            )
            self._gauges[name] = found
        found.set(value)

    def render_text(self) -> bytes:
        """Return all series in the text format."""
        return prometheus_client.generate_latest(self.registry)
