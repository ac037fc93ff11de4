"""Route from a host and path prefix to a service."""

from __future__ import annotations

from typing import NamedTuple

from jasminetally._deployment import route_kind
from jasminetally._deployment import weighted_service


class Route(NamedTuple):
    """Where requests of one host and path prefix go, and what they may do.

    Attributes:
        name: Name of the route.
        host: Host header of its requests.
        path_prefix: Start of their paths; begins and ends with a slash.
        kind: What may be repeated.
        services: Services that share the requests.
        timeout_s: Seconds after which a request gets its final answer.
        target_latency_s: Seconds within which an answer is on time; for streams
            up to the first event.
        target_event_gap_s: Longest pause between two events of a timely stream.
        priority: Rank of the route; 0 is the most urgent.
        max_attempts: Backend servers to which one request may be sent.
        public: Requests need no key.
        prefix_affinity: Requests name the parts of their prompt.
        resumable: A broken stream may go on at another backend server.
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
        """Whether a request may run again after it may have run."""
        if self.kind is route_kind.RouteKind.STREAM:
            return self.resumable
        return self.kind is route_kind.RouteKind.SAFE
