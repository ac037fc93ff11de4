"""Bounds that apply to the connections of all listeners of a router."""

from __future__ import annotations

from jasminetally._observe import event_log
from jasminetally._observe import events
from jasminetally._observe import request_metrics
from jasminetally._overload import client_refusals
from jasminetally._overload import listener_guard
from jasminetally._overload import memory_tracker
from jasminetally._overload import resource_limits


class ListenerGuards:
    """Guards of all listeners, which share the memory for clients.

    Args:
        limits: Limits on what clients may make the router hold.
        log: Receives a line for each kind of refusal, at most one a second.
        metrics: Receives the counts of refusals.

    Attributes:
        callers: Guard of the listener for callers.
        readiness: Guard of the readiness checks.
        directory: Guard of the directory of router addresses.
        metrics: Guard of the metrics.
        peers: Guard of the listener for other routers.
    """

    def __init__(
        self,
        limits: resource_limits.ResourceLimits,
        log: event_log.EventLog,
        metrics: request_metrics.RequestMetrics,
    ) -> None:
        self._log = log
        self._metrics = metrics
        self._memory = memory_tracker.MemoryTracker(limits.memory_bytes)
        self._refusals = client_refusals.ClientRefusals(
            metrics.count_refused_client, self._report
        )
        self.callers = self._make_guard("callers", limits.callers)
        self.readiness = self._make_guard("readiness", limits.endpoint)
        self.directory = self._make_guard("directory", limits.directory)
        self.metrics = self._make_guard("metrics", limits.endpoint)
        self.peers = self._make_guard("peers", limits.peers)

    def update(self, now_s: float) -> None:
        """Enforce the limit on memory and report refusals.

        To be called at short intervals.

        Args:
            now_s: Monotonic time in seconds.
        """
        self._memory.enforce_limit()
        self._refusals.report_due(now_s)

    def set_gauges(self) -> None:
        """Set the gauges of what clients hold."""
        for name, help_text, value in (
            (
                "client_memory_bytes",
                "Memory that the connections of clients hold",
                self._memory.total_bytes,
            ),
            (
                "client_memory_limit_bytes",
                "Memory that the connections of clients may hold",
                self._memory.limit_bytes,
            ),
        ):
            self._metrics.set_gauge(name, help_text, value)
        for guard in (
            self.callers,
            self.readiness,
            self.directory,
            self.metrics,
            self.peers,
        ):
            self._metrics.set_open_connections(
                guard.name,
                guard.connections.open_connections,
                guard.connections.max_connections,
            )

    def _make_guard(
        self, name: str, max_connections: int
    ) -> listener_guard.ListenerGuard:
        return listener_guard.ListenerGuard(
            name, self._memory, max_connections, self._refusals
        )

    def _report(self, report: client_refusals.RefusalReport) -> None:
        self._log.emit(
            events.ClientsRefused(
                listener=report.listener,
                reason=report.reason,
                count=report.count,
                clients=report.clients,
                largest_bytes=report.largest_bytes,
                held_bytes=self._memory.total_bytes,
            )
        )
