"""Counters, gauges and histograms of requests in the Prometheus format."""

from __future__ import annotations

import prometheus_client

# Upper bounds of the latency buckets; the steps are small around the latency
# objectives, which lie between 0.15 and 1 s.
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
    """Collect request metrics by client account, service and outcome.

    The number of series is bounded: accounts and services come from the
    configuration, and outcomes are error codes of this package or HTTP
    statuses.
    """

    def __init__(self) -> None:
        self.registry = prometheus_client.CollectorRegistry()
        self._requests = prometheus_client.Counter(
            "jasminetally_requests",
            "Requests by client account, service and outcome",
            ["account", "service", "outcome"],
            registry=self.registry,
        )
        self._first_answer = prometheus_client.Histogram(
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
        self._placed = prometheus_client.Counter(
            "jasminetally_placed",
            "Requests sent to servers, by why they left the data centre",
            ["service", "left"],
            registry=self.registry,
        )
        self._taken_up = prometheus_client.Counter(
            "jasminetally_streams_taken_up",
            "Streams that callers take up, by how the origin was found out or "
            "why the stream can't go on",
            ["outcome"],
            registry=self.registry,
        )
        self._reports = prometheus_client.Counter(
            "jasminetally_server_reports",
            "Queries for the process behind a connection to a server",
            ["outcome"],
            registry=self.registry,
        )
        self._store_calls = prometheus_client.Gauge(
            "jasminetally_store_calls",
            "Calls to the platform's store since the start, by kind",
            ["call", "kind"],
            registry=self.registry,
        )
        self._refused_clients = prometheus_client.Counter(
            "jasminetally_refused_clients",
            "Requests refused and connections closed before they were handled",
            ["listener", "reason"],
            registry=self.registry,
        )
        self._open_connections = prometheus_client.Gauge(
            "jasminetally_open_connections",
            "Open connections of clients",
            ["listener"],
            registry=self.registry,
        )
        self._max_connections = prometheus_client.Gauge(
            "jasminetally_max_connections",
            "Connections of clients that may be open",
            ["listener"],
            registry=self.registry,
        )
        self._gauges: dict[str, prometheus_client.Gauge] = {}

    def count_request(self, account: str, service: str, outcome: str) -> None:
        """Count a request that has ended."""
        self._requests.labels(account, service, outcome).inc()

    def record_first_answer(
        self, account: str, service: str, latency_s: float
    ) -> None:
        """Record a request's latency to the first part of its answer."""
        self._first_answer.labels(account, service).observe(latency_s)

    def count_taken_up(self, outcome: str) -> None:
        """Count a stream that a caller takes up.

        Args:
            outcome: How its origin was found out, or why it can't go on.
        """
        self._taken_up.labels(outcome).inc()

    def count_report(self, outcome: str) -> None:
        """Count a query for the process behind a connection to a server.

        Args:
            outcome: ``identified``, ``closed`` if the server has closed the
                connection after it, or ``failed``.
        """
        self._reports.labels(outcome).inc()

    def count_attempt(self, service: str, result: str) -> None:
        """Count one attempt to run a request on a backend server."""
        self._attempts.labels(service, result).inc()

    def count_placed(self, service: str, left: str | None) -> None:
        """Count a request that is sent to a server.

        Args:
            service: Service of the server.
            left: Why it left the data centre of the router; None if it stayed.
        """
        self._placed.labels(service, left or "stayed").inc()

    def count_refused_client(self, listener: str, reason: str) -> None:
        """Count a request that is refused before it is handled.

        Connections that are closed to bound what clients hold count too.

        Args:
            listener: Name of the listener.
            reason: Code of the reason.
        """
        self._refused_clients.labels(listener, reason).inc()

    def set_open_connections(
        self, listener: str, connections: int, limit: float
    ) -> None:
        """Set how many connections a listener has and may have."""
        self._open_connections.labels(listener).set(connections)
        self._max_connections.labels(listener).set(limit)

    def set_store_calls(self, call: str, kind: str, calls: int) -> None:
        """Set the number of calls of a kind to the platform's store."""
        self._store_calls.labels(call, kind).set(calls)

    def set_gauge(self, name: str, help_text: str, value: float) -> None:
        """Set a gauge, which is created on first use.

        Args:
            name: Name of the gauge without the prefix ``jasminetally_``.
            help_text: Description for the HELP line of a new gauge.
            value: New value.
        """
        gauge = self._gauges.get(name)
        if gauge is None:
            gauge = prometheus_client.Gauge(
                f"jasminetally_{name}", help_text, registry=self.registry
            )
            self._gauges[name] = gauge
        gauge.set(value)

    def render_text(self) -> bytes:
        """Return all series in the Prometheus text format."""
        return prometheus_client.generate_latest(self.registry)
