"""Service that backend servers provide."""

from __future__ import annotations

from typing import NamedTuple

from jasminetally._deployment import engine_spec


class Service(NamedTuple):
    """Service that backend servers provide.

    Attributes:
        name: Name of the service.
        max_connections: Connections that each of its backend servers accepts
            in total, from all routers together.
        engine: Specification of its model engines; None if its servers run no
            model engine.
        cold_start_s: Seconds after its start in which a server is cold.
        cold_requests_per_s: Requests a second that a cold server takes from
            all routers together; 0 for no limit.
    """

    name: str
    max_connections: int
    engine: engine_spec.EngineSpec | None
    cold_start_s: float = 0.0
    cold_requests_per_s: float = 0.0
