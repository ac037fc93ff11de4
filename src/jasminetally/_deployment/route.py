"""Route from a host and path prefix to the services that answer it."""

from __future__ import annotations

from typing import NamedTuple

from jasminetally._deployment import route_kind
from jasminetally._deployment import weighted_service


class Route(NamedTuple):
    """Services and rules for requests with one host and path prefix.

    Attributes:
        name: Name of the route.
        host: Value of the Host header that the route matches.
        path_prefix: Path prefix that the route matches; begins and ends with
            a slash.
        kind: Whether requests stream their answer and may run more than once.
        services: Services among which the requests are split by weight.
        timeout_s: Seconds after arrival by which a request must have its
            final answer; a caller may set an earlier deadline.
        target_latency_s: Seconds within which an answer counts as timely; for
            streams, the time to the first event.
        target_event_gap_s: Longest gap between two events, in seconds, with
            which a stream counts as timely.
        priority: Priority of the requests; 0 is the most urgent.
        max_attempts: Times that one request may be sent to a backend server,
            including the first.
        public: Whether requests need no API key.
        prefix_affinity: Whether requests name the parts of their prompt, so
            that requests with the same leading parts can share an engine.
        resumable: Whether a broken stream may continue at another backend
            server.
    """

    name: str
    host: str
    path_prefix: str
    kind: route_kind.RouteKind
    services: tuple[weighted_service.WeightedService, ...]
    timeout_s: float
    target_latency_s: float
    target_event_gap_s: float
    priority: int
    max_attempts: int
    public: bool
    prefix_affinity: bool
    resumable: bool

    @property
    def repeatable(self) -> bool:
        """Whether a request may run again after it may already have run."""
        if self.kind is route_kind.RouteKind.STREAM:
            return self.resumable
        return self.kind is route_kind.RouteKind.SAFE
